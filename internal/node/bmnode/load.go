package bmnode

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/schedule/bmscheduler"
)

const (
	loadPollPeriod = basilmoor.Second
	loadTimeout    = basilmoor.Second

	// maxLoadReads limits the reports that a host reads per period. A report
	// takes about 450 bytes with its headers, so reading all 110 targets of a
	// pool of the design size would take 50 KB per second.
	maxLoadReads = 4

	maxLoadBytes = 64 << 10
)

// loadPoller reads load reports from the targets of those pools whose broker
// runs on this host, so that only one host polls each target.
type loadPoller struct {
	clock      basilmoor.Clock
	catalogs   basilmoor.CatalogSource
	brokers    *bmscheduler.Service
	httpClient *http.Client
	nextIndex  int // index of the target to poll next, modulo the number of targets
}

func newLoadPoller(clock basilmoor.Clock, catalogs basilmoor.CatalogSource, brokers *bmscheduler.Service) *loadPoller {
	return &loadPoller{
		clock:    clock,
		catalogs: catalogs,
		brokers:  brokers,
		httpClient: &http.Client{
			Timeout: loadTimeout.Duration(),
		},
	}
}

// Serve implements suture.Service. It polls until ctx is done.
func (p *loadPoller) Serve(ctx context.Context) error {
	for {
		p.poll(ctx)
		if err := p.clock.Sleep(ctx, loadPollPeriod); err != nil {
			return err
		}
	}
}

// poolTarget is a target and the pool that it belongs to.
type poolTarget struct {
	pool   string
	target basilmoor.Target
}

// poll reads the reports of the next maxLoadReads targets, in round-robin order.
func (p *loadPoller) poll(ctx context.Context) {
	all := p.targets()
	var wg sync.WaitGroup
	for range min(maxLoadReads, len(all)) {
		next := all[p.nextIndex%len(all)]
		p.nextIndex++
		wg.Add(1)
		go p.run(ctx, next, &wg)
	}
	wg.Wait()
}

func (p *loadPoller) targets() []poolTarget {
	c, ok := p.catalogs.Catalog()
	if !ok {
		return nil
	}
	var all []poolTarget
	for _, pool := range p.brokers.Brokers() {
		for _, t := range c.Targets(pool) {
			all = append(all, poolTarget{
				pool:   pool,
				target: t,
			})
		}
	}
	return all
}

func (p *loadPoller) run(ctx context.Context, t poolTarget, wg *sync.WaitGroup) {
	defer wg.Done()
	r, err := p.fetchReport(ctx, t.target)
	if err != nil {
		// Reports are only hints; the broker works without them.
		return
	}
	p.brokers.Report(t.pool, r)
}

func (p *loadPoller) fetchReport(ctx context.Context, t basilmoor.Target) (basilmoor.LoadReport, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.Address+"/v1/load", nil)
	if err != nil {
		return basilmoor.LoadReport{}, errors.Wrap(err, "create load request")
	}
	w, err := p.httpClient.Do(r)
	if err != nil {
		return basilmoor.LoadReport{}, errors.Wrap(err, "read load")
	}
	defer func() { _ = w.Body.Close() }()
	var load struct {
		Running         int   `json:"running"`
		Waiting         int   `json:"waiting"`
		CacheTokensUsed int   `json:"cache-tokens-used"`
		AgeMS           int64 `json:"age-ms"`
	}
	if w.StatusCode != http.StatusOK {
		return basilmoor.LoadReport{}, errors.Errorf("read load: %s", w.Status)
	}
	if err := json.NewDecoder(io.LimitReader(w.Body, maxLoadBytes)).Decode(&load); err != nil {
		return basilmoor.LoadReport{}, errors.Wrap(err, "decode load")
	}
	return basilmoor.LoadReport{
		Target:          t.Name,
		Running:         load.Running,
		Waiting:         load.Waiting,
		CacheTokensUsed: load.CacheTokensUsed,
		Age:             basilmoor.Millis(load.AgeMS),
	}, nil
}
