// Command reviewcase plays a case of the review: a small deployment of the entry
// processes of the deploy file, with stand-ins for the store, the replicas and the
// clients. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run.
package main

import (
	"fmt"
	"os"
)

const (
	held     = 0
	broken   = 1
	couldNot = 2
)

func main() {
	if len(os.Args) != 3 {
		fmt.Println("usage: reviewcase CASE RECORD")
		os.Exit(couldNot)
	}
	cases := map[string]func(w *world, trouble bool) (int, error){
		"poison":  poison,
		"sameid":  sameID,
		"memory":  memory,
		"forged":  forged,
		"receipt": receipt,
		"revoke":  revoke,
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Println("unknown case", os.Args[1])
		os.Exit(couldNot)
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Println(err)
		os.Exit(couldNot)
	}
	result, err := play(w, os.Getenv("TROUBLE") != "0")
	if err != nil {
		w.logf("the case could not run: %v", err)
		fmt.Println(err)
		result = couldNot
	}
	w.close()
	os.Exit(result)
}

// verdict records what the check found.
func (w *world) verdict(ok bool, format string, args ...any) (int, error) {
	text := fmt.Sprintf(format, args...)
	w.logf("VERDICT: %s", text)
	fmt.Println(text)
	if ok {
		return held, nil
	}
	return broken, nil
}
