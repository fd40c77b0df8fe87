package bmbroker

import (
	"fmt"
	"testing"

	"basilmoor.example/basilmoor"
)

// BenchmarkBroker measures the full lifecycle of a request, from its submission to
// its end, with 200 full targets and 20,000 waiting demands of ten models.
func BenchmarkBroker(b *testing.B) {
	const models, waiting = 10, 20_000
	broker := New(Config{})
	var targets []basilmoor.Target
	for i := range 200 {
		t := engine(fmt.Sprintf("t%03d", i), 16)
		t.CacheTokens = 32_768
		t.Models = []string{fmt.Sprint("m", i%models)}
		targets = append(targets, t)
	}
	broker.SetTargets(0, targets)
	now := basilmoor.Millis(0)
	var running []basilmoor.Grant
	n := 0
	submit := func() {
		n++
		d := demand(fmt.Sprint("r", n), n%3)
		d.Workspace = fmt.Sprint("w", n*7%500)
		d.Model = fmt.Sprint("m", n%models)
		d.Deadline = basilmoor.Minute * 1000
		for block := range 16 {
			d.PrefixDigests = append(d.PrefixDigests, uint64(n%40*100+block))
		}
		for _, decision := range broker.Submit(now, d) {
			running = append(running, *decision.Grant)
		}
	}
	for range 200*16 + waiting {
		submit()
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now += basilmoor.Millis(i % 2)
		submit()
		g := running[0]
		running = running[1:]
		for _, stage := range []basilmoor.Stage{basilmoor.StageDispatched, basilmoor.StageFirstToken, basilmoor.StageFinished} {
			o := observe(string(g.Request), g.Target.Name, stage)
			o.Elapsed = 100
			for _, decision := range broker.Observe(now, o) {
				running = append(running, *decision.Grant)
			}
		}
	}
}
