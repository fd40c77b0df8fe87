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
	loadPeriod  = basilmoor.Second
	loadTimeout = basilmoor.Second

	// loadReads bounds the reports that a host reads in a period. A report
	// costs about 450 bytes with its headers; all 110 targets of a pool of the
	// design's size would take 50 KB a second.
	loadReads = 4

	maxLoadBytes = 64 << 10
)

// loadPoller reads the load reports of the targets of the pools whose broker
// is on this host, so that each target is asked by one host only.
type loadPoller struct {
	clock    basilmoor.Clock
	catalogs basilmoor.CatalogSource
	brokers  *bmscheduler.Service
	http     *http.Client
	next     int // of the targets, in turn
}

func newLoadPoller(clock basilmoor.Clock, catalogs basilmoor.CatalogSource, brokers *bmscheduler.Service) *loadPoller {
	return &loadPoller{
		clock:    clock,
		catalogs: catalogs,
		brokers:  brokers,
		http: &http.Client{
			Timeout: loadTimeout.Duration(),
		},
	}
}

// Serve reads reports until ctx ends.
func (p *loadPoller) Serve(ctx context.Context) error {
	for {
		p.round(ctx)
		if err := p.clock.Sleep(ctx, loadPeriod); err != nil {
			return err
		}
	}
}

// polled is a target whose report is read.
type polled struct {
	pool   string
	target basilmoor.Target
}

// round reads the next loadReads targets in turn.
func (p *loadPoller) round(ctx context.Context) {
	all := p.targets()
	var wg sync.WaitGroup
	for range min(loadReads, len(all)) {
		next := all[p.next%len(all)]
		p.next++
		wg.Add(1)
		go p.run(ctx, next, &wg)
	}
	wg.Wait()
}

func (p *loadPoller) targets() []polled {
	c, ok := p.catalogs.Catalog()
	if !ok {
		return nil
	}
	var all []polled
	for _, pool := range p.brokers.Brokers() {
		for _, t := range c.Targets(pool) {
			all = append(all, polled{
				pool:   pool,
				target: t,
			})
		}
	}
	return all
}

func (p *loadPoller) run(ctx context.Context, t polled, wg *sync.WaitGroup) {
	defer wg.Done()
	r, err := p.read(ctx, t.target)
	if err != nil {
		// A report is a hint only; the broker goes on without it.
		return
	}
	p.brokers.Report(t.pool, r)
}

func (p *loadPoller) read(ctx context.Context, t basilmoor.Target) (basilmoor.LoadReport, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.Address+"/v1/load", nil)
	if err != nil {
		return basilmoor.LoadReport{}, errors.Wrap(err, "make load request")
	}
	w, err := p.http.Do(r)
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
