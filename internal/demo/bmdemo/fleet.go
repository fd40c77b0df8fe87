package bmdemo

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"strings"

	"github.com/rs/zerolog"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/node/bmadmin"
	"basilmoor.example/basilmoor/internal/node/bmnode"
	"basilmoor.example/basilmoor/internal/node/bmsettings"
	"basilmoor.example/basilmoor/internal/proof/bmcheck"
	"basilmoor.example/basilmoor/internal/standin/bmstandin"
	"basilmoor.example/basilmoor/internal/standin/bmstandinengine"
	"basilmoor.example/basilmoor/internal/standin/bmstandinhosts"
	"basilmoor.example/basilmoor/internal/standin/bmstandinservice"
	"basilmoor.example/basilmoor/internal/standin/bmstandinstore"
)

const (
	loopback      = "127.0.0.1:0"
	fleetSecret   = "demo-fleet-secret"
	operatorToken = "demo-operator-token"
	callerToken   = "demo-caller-token"
	model         = "coconut-7b"
	dataCentre    = "bole"
	region        = "addis"
	nodeCount     = 3
)

// engineStepMillis holds the base duration of a step of each engine: two fast
// engines and a slow one, as in a fleet with several hardware generations.
var engineStepMillis = []float64{8, 8, 20}

// target is a simulated engine or service that records the requests it ran.
type target interface {
	SetFaults(f bmstandin.Faults) error
	Executions() []bmstandin.Execution
}

// fleet holds the nodes and the simulated targets, store and host list that they
// use.
type fleet struct {
	clock       basilmoor.Clock
	log         zerolog.Logger
	nodes       []*bmnode.Node
	engines     []target
	service     target
	note        strings.Builder
	cleanups    []func()
	cancel      context.CancelFunc
	serveErrors chan error
}

// startFleet starts a fleet and returns it with a function that closes it.
func startFleet(clock basilmoor.Clock, log zerolog.Logger) (*fleet, func(), error) {
	f := &fleet{
		clock:       clock,
		log:         log,
		serveErrors: make(chan error, nodeCount),
	}
	if err := f.start(); err != nil {
		f.close()
		return nil, nil, err
	}
	return f, f.close, nil
}

func (f *fleet) start() error {
	f.writeNoteHeader()
	if err := f.startTargets(); err != nil {
		return err
	}
	store, closeStore := bmstandinstore.New(f.clock, bmstandinstore.Settings{})
	f.onClose(closeStore)
	storeServer, err := f.listen(store)
	if err != nil {
		return err
	}
	list := bmstandinhosts.New(f.clock, bmstandinhosts.Settings{})
	listServer, err := f.listen(list)
	if err != nil {
		return err
	}
	if err := f.startNodes(storeServer.Address(), listServer.Address()); err != nil {
		return err
	}
	var hosts []bmstandinhosts.Host
	for i, n := range f.nodes {
		hosts = append(hosts, bmstandinhosts.Host{
			Host:       hostName(i),
			Address:    n.Addresses().Peers,
			DataCentre: dataCentre,
			Region:     region,
		})
	}
	list.SetHosts(hosts)
	return nil
}

func (f *fleet) onClose(cleanup func()) {
	f.cleanups = append(f.cleanups, cleanup)
}

func (f *fleet) listen(h http.Handler) (*bmstandin.Server, error) {
	server, cleanup, err := bmstandin.Listen(loopback, "", h)
	if err != nil {
		return nil, err
	}
	f.onClose(cleanup)
	return server, nil
}

// startTargets starts the engines and the service and adds them to the release
// note.
func (f *fleet) startTargets() error {
	for i, step := range engineStepMillis {
		settings := bmstandinengine.DefaultSettings()
		settings.Name = fmt.Sprintf("engine-%d", i+1)
		settings.StepMillis = step
		settings.BatchLimit = engineSlots
		e, server, cleanup, err := bmstandinengine.Start(loopback, "", f.clock, settings)
		if err != nil {
			return err
		}
		f.onClose(cleanup)
		f.engines = append(f.engines, e)
		fmt.Fprintf(&f.note, "    - {name: %s, pool: models, type: engine, address: %q, data-centre: %s, models: [%s], slots: %d}\n", settings.Name, server.Address(), dataCentre, model, engineSlots)
	}
	s, server, cleanup, err := bmstandinservice.Start(loopback, "", f.clock, bmstandinservice.Settings{
		Name:    "ledger-1",
		Latency: ledgerLatency,
	})
	if err != nil {
		return err
	}
	f.onClose(cleanup)
	f.service = s
	fmt.Fprintf(&f.note, "    - {name: ledger-1, pool: ledger, type: service, address: %q, data-centre: %s, slots: 16}\n", server.Address(), dataCentre)
	return nil
}

func hostName(i int) string {
	return fmt.Sprintf("entry-%d", i+1)
}

func (f *fleet) startNodes(store, list string) error {
	digest := sha256.Sum256([]byte(operatorToken))
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	for i := range nodeCount {
		_, settings := bmsettings.NewNodeSet()
		settings.Host = hostName(i)
		settings.DataCentre = dataCentre
		settings.Region = region
		settings.CallersAddress = loopback
		settings.PeersAddress = loopback
		settings.AdminAddress = loopback
		settings.StoreURL = "http://" + store
		settings.HostListURL = "http://" + list
		settings.FleetSecret = fleetSecret
		settings.OperatorTokens = []bmsettings.OperatorToken{
			{
				Name:   "demo",
				Role:   bmsettings.RoleOperator,
				Digest: hex.EncodeToString(digest[:]),
			},
		}
		settings.StopLimit = basilmoor.Minute
		settings.FirstByteTimeout = 20 * basilmoor.Second
		settings.ReadIdleTimeout = 5 * basilmoor.Second
		settings.StoreReads = 50
		settings.StoreWrites = 50
		settings.QueueRequests = queueRequests
		settings.QueueBytes = 64 << 20
		n, cleanup, err := bmnode.New(*settings, f.log)
		if err != nil {
			return err
		}
		f.onClose(cleanup)
		f.nodes = append(f.nodes, n)
		go f.run(ctx, n)
	}
	return nil
}

func (f *fleet) run(ctx context.Context, n *bmnode.Node) {
	f.serveErrors <- n.Serve(ctx, context.Background())
}

// stop shuts the nodes down gracefully and returns the first error.
func (f *fleet) stop() error {
	f.cancel()
	var first error
	for range f.nodes {
		if err := <-f.serveErrors; err != nil && first == nil {
			first = err
		}
	}
	f.nodes = nil
	return first
}

// close stops the nodes and runs the cleanups in reverse order.
func (f *fleet) close() {
	if f.cancel != nil {
		_ = f.stop()
	}
	for i := len(f.cleanups) - 1; i >= 0; i-- {
		f.cleanups[i]()
	}
}

func (f *fleet) adminClient(n *bmnode.Node) *bmadmin.Client {
	return bmadmin.NewClient("http://"+n.Addresses().Admin, operatorToken)
}

// executions returns the executions that the targets recorded.
func (f *fleet) executions() []bmcheck.Execution {
	var list []bmcheck.Execution
	for _, t := range append([]target{f.service}, f.engines...) {
		for _, x := range t.Executions() {
			list = append(list, bmcheck.Execution{
				Request:  basilmoor.RequestID(x.Request),
				Key:      x.Key,
				Complete: x.Complete,
			})
		}
	}
	return list
}

// writeNoteHeader writes the release note up to its list of targets.
func (f *fleet) writeNoteHeader() {
	digest := sha256.Sum256([]byte(callerToken))
	fmt.Fprintf(&f.note, `schema: 1
note: demo
added:
  tiers:
    - {name: %s, rank: 0}
    - {name: %s, rank: 1}
    - {name: %s, rank: 2}
  workspaces:
    - {name: blue-carts, token-digests: [%s], weight: 1, default-tier: %s}
  pools:
    - {name: models, region: %s}
    - {name: ledger, region: %s}
  kinds:
    - {name: sales-notes, pool: models, model: %s, deadline-ms: 15000}
    - {name: payouts, pool: ledger, path-prefix: /payouts, tier: %s, non-idempotent: true, key-required: true, deadline-ms: 15000}
  targets:
`, tierTop, tierMiddle, tierLow, hex.EncodeToString(digest[:]), tierMiddle, region, region, model, tierTop)
}
