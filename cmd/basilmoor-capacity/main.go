// Command basilmoor-capacity measures the slopes of docs/CAPACITY.md and
// prints its tables.
package main

import (
	"fmt"
	"os"

	"basilmoor.example/basilmoor/internal/capacity/bmmeasure"
)

func main() {
	if err := bmmeasure.PrintAll(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "basilmoor-capacity:", err)
		os.Exit(1)
	}
}
