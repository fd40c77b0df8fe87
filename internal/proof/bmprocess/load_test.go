package bmprocess

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmclock"
	"basilmoor.example/basilmoor/internal/proof/bmcaller"
	"basilmoor.example/basilmoor/internal/proof/bmcheck"
	"basilmoor.example/basilmoor/internal/standin/bmstandin"
)

func chat(t *testing.T, prompt string, tokens int, stream bool) bmcaller.Request {
	t.Helper()
	q, err := bmcaller.Chat(model, prompt, tokens, stream)
	require.NoError(t, err)
	return q
}

func service(method, path, body string) bmcaller.Request {
	return bmcaller.Request{
		Method: method,
		Path:   path,
		Body:   body,
	}
}

// workload sends requests and records every response.
type workload struct {
	caller *bmcaller.Caller
	wg     sync.WaitGroup

	mu        sync.Mutex
	responses []bmcaller.Response
}

func (f *fleet) newWorkload() *workload {
	caller, cleanup := bmcaller.New(bmclock.NewSystem(), callerToken)
	f.t.Cleanup(cleanup)
	return &workload{
		caller: caller,
	}
}

func (l *workload) send(ctx context.Context, n *process, q bmcaller.Request) bmcaller.Response {
	r := l.caller.Do(ctx, n.ready["callers"], q)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.responses = append(l.responses, r)
	return r
}

// start sends a request in the background. Use wait to wait for the responses.
func (l *workload) start(n *process, q bmcaller.Request) {
	l.wg.Add(1)
	go l.run(n, q)
}

func (l *workload) run(n *process, q bmcaller.Request) {
	defer l.wg.Done()
	l.send(context.Background(), n, q)
}

func (l *workload) wait() {
	l.wg.Wait()
}

func (l *workload) all() []bmcaller.Response {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]bmcaller.Response(nil), l.responses...)
}

// counts returns the number of responses by outcome.
func (l *workload) counts() map[basilmoor.Outcome]int {
	counts := make(map[basilmoor.Outcome]int)
	for _, r := range l.all() {
		counts[r.Outcome]++
	}
	return counts
}

// targets returns every engine and service.
func (f *fleet) targets() []*process {
	return append([]*process{f.service}, f.engines...)
}

// executions returns the executions that all targets recorded.
func (f *fleet) executions() []bmcheck.Execution {
	f.t.Helper()
	var list []bmcheck.Execution
	for _, target := range f.targets() {
		for _, x := range f.executionsOf(target) {
			list = append(list, bmcheck.Execution{
				Request:  basilmoor.RequestID(x.Request),
				Key:      x.Key,
				Complete: x.Complete,
			})
		}
	}
	return list
}

func (f *fleet) executionsOf(target *process) []bmstandin.Execution {
	f.t.Helper()
	w, err := http.Get("http://" + target.ready["control"] + "/v1/executions")
	require.NoError(f.t, err)
	defer func() { _ = w.Body.Close() }()
	var list bmstandin.ExecutionList
	require.NoError(f.t, json.NewDecoder(w.Body).Decode(&list))
	return list.Executions
}

// running counts the executions that have started but not ended.
func (f *fleet) running(target *process) int {
	n := 0
	for _, x := range f.executionsOf(target) {
		if x.End == 0 {
			n++
		}
	}
	return n
}

// checkInvariants compares all responses with all executions and reports each
// violation.
func (f *fleet) checkInvariants(l *workload) {
	f.t.Helper()
	var calls []bmcheck.Call
	for _, r := range l.all() {
		calls = append(calls, r.Call)
	}
	executions := f.executions()
	f.t.Logf("requests %d, executions %d, outcomes %v", len(calls), len(executions), l.counts())
	for _, v := range bmcheck.Check(calls, executions) {
		f.t.Errorf("%s", v)
	}
}

// setFaults posts faults to a stand-in, through its control listener if it has
// one.
func (f *fleet) setFaults(standin *process, faults string) {
	f.t.Helper()
	address := standin.ready["control"]
	if address == "" {
		address = standin.ready["listening"]
	}
	f.post("http://"+address+"/v1/faults", faults)
}
