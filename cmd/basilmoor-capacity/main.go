// Command basilmoor-capacity measures how the costs in docs/CAPACITY.md grow and
// prints the tables of that page.
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
