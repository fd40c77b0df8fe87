package bmstandincmd

import (
	"encoding/json"
	"flag"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/standin/bmstandin"
	"basilmoor.example/basilmoor/internal/standin/bmstandinengine"
	"basilmoor.example/basilmoor/internal/standin/bmstandinhosts"
	"basilmoor.example/basilmoor/internal/standin/bmstandinservice"
	"basilmoor.example/basilmoor/internal/standin/bmstandinstore"
)

// millisValue is a flag.Value for a number of milliseconds.
type millisValue struct {
	target *basilmoor.Millis
}

// String returns the current value.
func (v millisValue) String() string {
	if v.target == nil {
		return "0"
	}
	return strconv.FormatInt(int64(*v.target), 10)
}

// Set parses a number of milliseconds.
func (v millisValue) Set(text string) error {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 {
		return errors.New("want a number of milliseconds, at least 0")
	}
	*v.target = basilmoor.Millis(n)
	return nil
}

// listValue is a flag.Value for a comma-separated list.
type listValue struct {
	target *[]string
}

// String returns the current value.
func (v listValue) String() string {
	if v.target == nil {
		return ""
	}
	return strings.Join(*v.target, ",")
}

// Set parses a list. The empty string is the empty list.
func (v listValue) Set(text string) error {
	*v.target = nil
	if text != "" {
		*v.target = strings.Split(text, ",")
	}
	return nil
}

// jsonValue is a flag.Value for JSON.
type jsonValue struct {
	target any
}

// String returns the empty string, since the values have no default.
func (v jsonValue) String() string { return "" }

// Set decodes the value.
func (v jsonValue) Set(text string) error {
	return json.Unmarshal([]byte(text), v.target)
}

func storeFlags(f *flag.FlagSet) startFunc {
	var s bmstandinstore.Settings
	f.IntVar(&s.ReadsPerSecond, "reads-per-second", 0, "maximum rate of reads, 0 for no limit")
	f.IntVar(&s.WritesPerSecond, "writes-per-second", 0, "maximum rate of writes, 0 for no limit")
	f.IntVar(&s.HistoryLimit, "history", bmstandinstore.DefaultHistoryLimit, "number of changes kept for watches")
	return func(clock basilmoor.Clock, l listenFlags) (*bmstandin.Server, func(), error) {
		_, server, cleanup, err := bmstandinstore.Start(l.address, l.control, clock, s)
		return server, cleanup, err
	}
}

func engineFlags(f *flag.FlagSet) startFunc {
	s := bmstandinengine.DefaultSettings()
	f.StringVar(&s.Name, "name", s.Name, "name, used as the prefix of stream IDs")
	f.IntVar(&s.BatchLimit, "batch-limit", s.BatchLimit, "maximum number of sequences in the batch")
	f.IntVar(&s.CacheTokens, "cache-tokens", s.CacheTokens, "size of the KV cache in tokens")
	f.IntVar(&s.ContextTokens, "context-tokens", s.ContextTokens, "maximum tokens of prompt and output together, 0 for no limit")
	f.IntVar(&s.QueueLimit, "queue-limit", s.QueueLimit, "maximum number of waiting requests before a 429 response, 0 for no limit")
	f.IntVar(&s.PrefillChunk, "prefill-chunk", s.PrefillChunk, "maximum prompt tokens computed in one step")
	f.IntVar(&s.PrefixCacheTokens, "prefix-cache-tokens", s.PrefixCacheTokens, "size of the prefix cache in tokens")
	f.Float64Var(&s.StepMillis, "step-ms", s.StepMillis, "base duration of a step in milliseconds")
	f.Float64Var(&s.SequenceMillis, "sequence-ms", s.SequenceMillis, "duration added to a step by each decoding sequence, in milliseconds")
	f.Float64Var(&s.PrefillMillis, "prefill-ms", s.PrefillMillis, "duration added to a step by each prompt token, in milliseconds")
	f.Float64Var(&s.TransferMillis, "transfer-ms", s.TransferMillis, "duration of transferring one token of KV cache, in milliseconds")
	f.Float64Var(&s.LoadMillis, "load-ms", s.LoadMillis, "duration of loading a model, adapter or version, in milliseconds")
	f.Float64Var(&s.TimeScale, "time-scale", s.TimeScale, "factor applied to the durations of steps, transfers and loads")
	f.Var(listValue{
		target: &s.Models,
	}, "models", "loaded models; empty serves every model")
	f.Var(listValue{
		target: &s.Adapters,
	}, "adapters", "loaded adapters")
	f.StringVar(&s.Version, "version", s.Version, "loaded version")
	f.StringVar(&s.Role, "role", s.Role, "role that the engine reports")
	f.BoolVar(&s.CheckFencing, "check-fencing", s.CheckFencing, "reject commands with a stale fencing number")
	f.BoolVar(&s.CancelOnDisconnect, "cancel-on-disconnect", s.CancelOnDisconnect, "cancel a sequence when its client disconnects")
	f.Var(millisValue{
		target: &s.LoadReportDelay,
	}, "load-lag-ms", "age of load reports")
	f.Var(millisValue{
		target: &s.CacheEventDelay,
	}, "cache-event-delay-ms", "age at which cache events become visible")
	f.IntVar(&s.CacheEventHistory, "cache-event-history", s.CacheEventHistory, "cache events kept")
	f.IntVar(&s.CacheEventDropEvery, "cache-event-drop-every", s.CacheEventDropEvery, "drop every n-th cache event, 0 for none")
	f.Var(millisValue{
		target: &s.KeepAlive,
	}, "keep-alive-ms", "interval of keep-alive comments on an idle stream, 0 for none")
	f.Var(millisValue{
		target: &s.Retention,
	}, "retention-ms", "time for which a finished stream can still be read")
	return func(clock basilmoor.Clock, l listenFlags) (*bmstandin.Server, func(), error) {
		_, server, cleanup, err := bmstandinengine.Start(l.address, l.control, clock, s)
		return server, cleanup, err
	}
}

func serviceFlags(f *flag.FlagSet) startFunc {
	s := bmstandinservice.Settings{
		Name:            "service",
		Latency:         10, // typical of an order application
		LoadReportDelay: 2 * basilmoor.Second,
	}
	f.StringVar(&s.Name, "name", s.Name, "name on receipts")
	f.Var(millisValue{
		target: &s.Latency,
	}, "latency-ms", "duration of a request")
	f.IntVar(&s.Workers, "workers", s.Workers, "maximum number of concurrent requests, 0 for no limit")
	f.Var(millisValue{
		target: &s.LoadReportDelay,
	}, "load-lag-ms", "age of load reports")
	return func(clock basilmoor.Clock, l listenFlags) (*bmstandin.Server, func(), error) {
		_, server, cleanup, err := bmstandinservice.Start(l.address, l.control, clock, s)
		return server, cleanup, err
	}
}

func hostsFlags(f *flag.FlagSet) startFunc {
	var s bmstandinhosts.Settings
	f.Var(millisValue{
		target: &s.Lag,
	}, "lag-ms", "delay before a change becomes visible")
	f.Var(jsonValue{
		target: &s.Hosts,
	}, "hosts", "initial hosts, as the JSON body of PUT /v1/hosts")
	f.Var(jsonValue{
		target: &s.Targets,
	}, "targets", "initial targets, as the JSON body of PUT /v1/targets")
	return func(clock basilmoor.Clock, l listenFlags) (*bmstandin.Server, func(), error) {
		_, server, cleanup, err := bmstandinhosts.Start(l.address, l.control, clock, s)
		return server, cleanup, err
	}
}
