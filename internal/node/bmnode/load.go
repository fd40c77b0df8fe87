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

	// loadCalls bounds the reports that are read at the same time.
	loadCalls = 16

	maxLoadBytes = 64 << 10
)

// loadPoller reads the load reports of the targets of the pools whose broker
// is on this host, so that each target is asked by one host only.
type loadPoller struct {
	clock    basilmoor.Clock
	catalogs basilmoor.CatalogSource
	brokers  *bmscheduler.Service
	http     *http.Client
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

func (p *loadPoller) round(ctx context.Context) {
	c, ok := p.catalogs.Catalog()
	if !ok {
		return
	}
	var wg sync.WaitGroup
	slots := make(chan struct{}, loadCalls)
	for _, pool := range p.brokers.Brokers() {
		for _, t := range c.Targets(pool) {
			slots <- struct{}{}
			wg.Add(1)
			go p.run(ctx, pool, t, slots, &wg)
		}
	}
	wg.Wait()
}

func (p *loadPoller) run(ctx context.Context, pool string, t basilmoor.Target, slots <-chan struct{}, wg *sync.WaitGroup) {
	defer wg.Done()
	defer func() { <-slots }()
	r, err := p.read(ctx, t)
	if err != nil {
		// A report is a hint only; the broker goes on without it.
		return
	}
	p.brokers.Report(pool, r)
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
