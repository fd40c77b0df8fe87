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

// Tiers of the example release note.
const (
	tierTop    = "payouts"
	tierMiddle = "plans"
	tierLow    = "notes"
)

// Size of the load. The base rate is about half of what the engines can do;
// the burst is several times their capacity and fills the queue.
const (
	engineSlots   = 8
	queueRequests = 60
	ledgerLatency = 20 * basilmoor.Millis(1)

	baseRequests  = 90
	basePause     = 40 * basilmoor.Millis(1)
	burstRequests = 200
	crashAfter    = 45 // requests of the base load before an engine crashes
	repeatEvery   = 4  // every so many payouts are sent again through another host

	crashFor = 2 * basilmoor.Second
)

// load sends the requests of a run.
type load struct {
	fleet  *fleet
	caller *bmcaller.Caller
	random *rand.Rand

	wg        sync.WaitGroup
	mu        sync.Mutex
	responses []bmcaller.Response
	sent      int
}

// run sends the base load, crashes an engine in the middle, and sends the
// burst at the end of it. It returns when every request has ended.
func (l *load) run(ctx context.Context) error {
	for i := range baseRequests {
		if i == crashAfter {
			if err := l.crash(); err != nil {
				return err
			}
		}
		if err := l.send(ctx, i); err != nil {
			return err
		}
		if err := l.fleet.clock.Sleep(ctx, basePause); err != nil {
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

func (l *load) crash() error {
	back := crashFor
	return l.fleet.engines[0].SetFaults(bmstandin.Faults{
		CrashNow:          true,
		ReviveAfterMillis: &back,
	})
}

// send starts request i: one in six is a payout, one in three a plan, the
// others are notes.
func (l *load) send(ctx context.Context, i int) error {
	q, err := l.request(i)
	if err != nil {
		return err
	}
	node := l.fleet.nodes[l.random.IntN(len(l.fleet.nodes))]
	l.start(ctx, node.Addresses().Callers, q)
	if q.Key != "" && i%(6*repeatEvery) == 0 {
		other := l.fleet.nodes[l.random.IntN(len(l.fleet.nodes))]
		l.start(ctx, other.Addresses().Callers, q)
	}
	return nil
}

func (l *load) request(i int) (bmcaller.Request, error) {
	if i%6 == 0 {
		return bmcaller.Request{
			Method: http.MethodPost,
			Path:   "/payouts",
			Body:   fmt.Sprintf(`{"cart":"blue-%d","birr":%d}`, i, 100+i),
			Tier:   tierTop,
			Key:    fmt.Sprintf("payout-%d", i),
		}, nil
	}
	tokens := 5 + l.random.IntN(40)
	prompt := fmt.Sprintf("request %d %s", i, strings.Repeat("coconut ", 10+l.random.IntN(200)))
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

func (l *load) start(ctx context.Context, address string, q bmcaller.Request) {
	l.sent++
	l.wg.Add(1)
	go l.loop(ctx, address, q)
}

// loop sends one request and keeps its response.
func (l *load) loop(ctx context.Context, address string, q bmcaller.Request) {
	defer l.wg.Done()
	r := l.caller.Do(ctx, address, q)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.responses = append(l.responses, r)
}
