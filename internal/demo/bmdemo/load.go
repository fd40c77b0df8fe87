package bmdemo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/proof/bmcaller"
	"basilmoor.example/basilmoor/internal/request/bmgateway"
	"basilmoor.example/basilmoor/internal/standin/bmstandin"
)

// Tiers of the release note, from the highest to the lowest.
const (
	tierTop    = "payouts"
	tierMiddle = "plans"
	tierLow    = "notes"
)

// Size of the load. The base rate is about half of the engines' capacity. The
// burst is several times their capacity, so that it fills the queue.
const (
	engineSlots   = 8
	queueRequests = 60
	ledgerLatency = 20 * basilmoor.Millis(1)

	baseRequests       = 90
	baseInterval       = 40 * basilmoor.Millis(1)
	burstRequests      = 200
	crashAfterRequests = 45 // requests of the base load before an engine crashes
	repeatInterval     = 4  // one in this many payouts is sent a second time, through a random host

	crashDuration = 2 * basilmoor.Second
)

// load sends the requests of a run and collects the responses.
type load struct {
	fleet  *fleet
	caller *bmcaller.Caller
	rng    *rand.Rand

	wg        sync.WaitGroup
	mu        sync.Mutex
	responses []bmcaller.Response
	sent      int
}

// run sends the base load, crashes an engine halfway through, and then sends the
// burst. It returns when every request has ended.
func (l *load) run(ctx context.Context) error {
	for i := range baseRequests {
		if i == crashAfterRequests {
			if err := l.crashEngine(); err != nil {
				return err
			}
		}
		if err := l.send(ctx, i); err != nil {
			return err
		}
		if err := l.fleet.clock.Sleep(ctx, baseInterval); err != nil {
			return err
		}
	}
	for i := range burstRequests {
		if err := l.send(ctx, baseRequests+i); err != nil {
			return err
		}
	}
	l.wg.Wait()
	return nil
}

// crashEngine crashes the first engine, which restarts after crashDuration.
func (l *load) crashEngine() error {
	reviveAfter := crashDuration
	return l.fleet.engines[0].SetFaults(bmstandin.Faults{
		CrashNow:          true,
		ReviveAfterMillis: &reviveAfter,
	})
}

// send starts request i on a random host, and a second time if it is a payout
// that is to be repeated.
func (l *load) send(ctx context.Context, i int) error {
	q, err := l.newRequest(i)
	if err != nil {
		return err
	}
	node := l.fleet.nodes[l.rng.IntN(len(l.fleet.nodes))]
	l.startRequest(ctx, node.Addresses().Callers, q)
	if q.Key != "" && i%(6*repeatInterval) == 0 {
		other := l.fleet.nodes[l.rng.IntN(len(l.fleet.nodes))]
		l.startRequest(ctx, other.Addresses().Callers, q)
	}
	return nil
}

// newRequest returns request i: a payout if i is a multiple of six, a plan if it
// is another multiple of three, else a note.
func (l *load) newRequest(i int) (bmcaller.Request, error) {
	if i%6 == 0 {
		return bmcaller.Request{
			Method: http.MethodPost,
			Path:   "/payouts",
			Body:   fmt.Sprintf(`{"cart":"blue-%d","birr":%d}`, i, 100+i),
			Tier:   tierTop,
			Key:    fmt.Sprintf("payout-%d", i),
		}, nil
	}
	tokens := 5 + l.rng.IntN(40)
	prompt := fmt.Sprintf("request %d %s", i, strings.Repeat("coconut ", 10+l.rng.IntN(200)))
	q, err := bmcaller.Chat(model, prompt, tokens, i%2 == 0)
	if err != nil {
		return q, err
	}
	q.Tier = tierLow
	if i%3 == 0 {
		q.Tier = tierMiddle
	}
	q.Header = map[string]string{
		bmgateway.HeaderTier: q.Tier,
	}
	return q, nil
}

func (l *load) startRequest(ctx context.Context, address string, q bmcaller.Request) {
	l.sent++
	l.wg.Add(1)
	go l.loop(ctx, address, q)
}

// loop sends one request and appends its response to l.responses.
func (l *load) loop(ctx context.Context, address string, q bmcaller.Request) {
	defer l.wg.Done()
	r := l.caller.Do(ctx, address, q)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.responses = append(l.responses, r)
}
