// Command review-2 runs one case of the review: it starts the stand-ins and the project's
// own program, plays the case, and checks the rule. It exits with 1 if the rule was broken,
// with 0 if it held, and with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// env is what every case has.
type env struct {
	rec     *record
	store   *store
	address string // of the store
	dir     string // temporary folder
	trouble bool   // false plays the case without its disruption
}

// cases are the cases by name. Each reports whether the rule was broken.
var cases = map[string]func(e *env) (broken bool, err error){
	"resume":  caseResume,
	"paths":   casePaths,
	"segment": caseSegment,
	"promise": casePromise,
}

// caseLimit is the longest time that a case may take.
const caseLimit = 110 * time.Second

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, recordPath string) int {
	rec, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = os.RemoveAll(dir) }()
	s, address, err := startStore()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	e := &env{rec: rec, store: s, address: address, dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	rec.add("case %s, disruption %t", name, e.trouble)
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := cases[name](e)
		done <- result{broken: broken, err: err}
	}()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, os.Interrupt)
	defer endProcesses()
	select {
	case r := <-done:
		switch {
		case r.err != nil:
			rec.add("the case could not run: %v", r.err)
			fmt.Fprintln(os.Stderr, r.err)
			return 2
		case r.broken:
			rec.add("the rule was BROKEN")
			fmt.Println(name + ": the rule was broken")
			return 1
		}
		rec.add("the rule held")
		fmt.Println(name + ": the rule held")
		return 0
	case <-time.After(caseLimit):
		rec.add("the case took too long")
	case <-stopped:
		rec.add("the case was stopped")
	}
	return 2
}

// started holds all processes that were started.
var started []*entryHost

// startHosts starts entry hosts and waits until they are ready and have found each other.
func (e *env) startHosts(n int) ([]*entryHost, func(), error) {
	var hosts []*entryHost
	for i := range n {
		h, err := newEntryHost(e.dir, fmt.Sprintf("edge-kinston-%d", i+1), e.address)
		if err != nil {
			return nil, nil, err
		}
		if err := h.start(); err != nil {
			return nil, nil, err
		}
		started = append(started, h)
		hosts = append(hosts, h)
	}
	for _, h := range hosts {
		if err := h.waitReady(20 * time.Second); err != nil {
			return nil, nil, err
		}
	}
	// The bench's traffic starts 10 s after the machines; a second is enough here.
	time.Sleep(time.Second)
	e.rec.add("%d entry hosts are ready", n)
	return hosts, endProcesses, nil
}

// endProcesses ends all processes that the case started.
func endProcesses() {
	for _, h := range started {
		h.stop()
	}
	started = nil
}
