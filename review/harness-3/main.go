// Command review-3 plays the cases of a review: it starts entry hosts of the project as
// separate processes beside stand-ins for the store, the replicas and the clients.
//
// usage: review-3 CASE FOLDER
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

var cases = map[string]func(*world) (broken bool){
	"settings":    settingsFraction, // review/10
	"last-tenant": lastTenant,       // review/11
	"fraction":    fraction,         // review/12
	"late-crash":  lateCrash,        // review/13

	// Faults of QUOTA, which are no cases: see the report.
	"quota-back":  quotaBack,
	"quota-large": quotaLarge,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-3 CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) (code int) {
	root, err := filepath.Abs(filepath.Join(folder, "../.."))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	w, err := newWorld(root, folder, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.close()
	go w.endOnSignal()
	defer func() {
		if r := recover(); r != nil {
			var c errCannotRun
			if e, isError := r.(error); isError && errors.As(e, &c) {
				r = c.why
			}
			w.recordf("the case could not run: %v", r)
			fmt.Fprintln(os.Stderr, "could not run:", r)
			if keep := os.Getenv("KEEP_LOGS"); keep != "" {
				_ = os.CopyFS(filepath.Join(keep, newID()), os.DirFS(w.dir))
			}
			code = 2
		}
	}()
	broken := cases[name](w)
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.CopyFS(filepath.Join(keep, newID()), os.DirFS(w.dir))
	}
	if broken {
		w.recordf("the rule is BROKEN")
		fmt.Println("broken")
		return 1
	}
	w.recordf("the rule holds")
	fmt.Println("held")
	return 0
}

// Error implements error.
func (e errCannotRun) Error() string { return e.why }
