package bmentrynode

import (
	"fmt"
	"net"
	"strings"

	"github.com/rs/zerolog"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/schedule/bmgrant"
	"basilmoor.example/basilmoor/internal/schedule/bmrollout"
)

// Settings is the configuration that a process reads at its start. [Node.Reload]
// can change some of it later.
type Settings struct {
	Host       string
	IP         string
	DataCentre string
	Region     string

	CallersAddress string // IP address and port
	ReadyAddress   string
	StoreAddress   string
	FirstPort      int // first port for peers and metrics
	LastPort       int

	MemoryBytes int64   // memory limit of the process
	MaxSockets  int     // limit of open sockets; 0 for the limit of open files of the process
	CPUFraction float64 // number of cores, usually less than 1
	LinkMbps    float64 // bandwidth of the host's link

	MinLease          basilmoor.Millis // shortest TTL that the store grants
	AddressReuseDelay basilmoor.Millis // before the address of a target is assigned to another one
	StopGrace         basilmoor.Millis // from the request to stop until the process is killed
	// StopGraceAssumed is set if the platform names no StopGrace.
	StopGraceAssumed bool
	// WithdrawalTime is the time from the moment at which the host is no longer
	// ready until the load balancer opens no more connections to it.
	WithdrawalTime basilmoor.Millis
	TargetDrain    basilmoor.Millis // until a leaving target must get no more requests
	// RevocationTimeout is the time after which a revoked key must be rejected on
	// every host.
	RevocationTimeout basilmoor.Millis
	// TargetReportPeriod is the period at which targets report to the store.
	TargetReportPeriod basilmoor.Millis

	// RetryRatio and RetrySlack limit the retries of all hosts within
	// RetryWindow to RetryRatio times the number of requests plus RetrySlack.
	RetryRatio  float64
	RetryWindow basilmoor.Millis
	RetrySlack  float64

	// Tolerance limits the spending of workspaces in excess of their
	// quotas.
	Tolerance bmgrant.Tolerance

	// Rollouts limits what a bad version of the targets may do. The zero value makes
	// the host ignore orders to move pools to another version.
	Rollouts bmrollout.Bounds

	// MetricsPort is the port of the metrics listener; 0 selects the second
	// port of the range FirstPort to LastPort.
	MetricsPort int

	// PrefillLimits keeps prompts that would make running streams late from slow
	// targets.
	PrefillLimits bool

	// FirstStart is set on the first start of the whole system.
	FirstStart bool

	// LocalScheduling makes the host schedule its requests on its own share
	// of the slots, without a broker.
	LocalScheduling bool
}

// InvalidSettingsError lists all missing and invalid settings.
type InvalidSettingsError struct {
	Faults []string
}

func (e *InvalidSettingsError) Error() string {
	return "invalid settings:\n  " + strings.Join(e.Faults, "\n  ")
}

// Validate returns an *InvalidSettingsError if a required setting is missing or
// invalid.
func (s Settings) Validate() error {
	var faults []string
	for name, address := range map[string]string{
		"address for callers":          s.CallersAddress,
		"address for readiness probes": s.ReadyAddress,
		"address of the store":         s.StoreAddress,
	} {
		if host, _, err := net.SplitHostPort(address); err != nil || net.ParseIP(host) == nil {
			faults = append(faults, fmt.Sprintf("%s: %q is not an IP address and port", name, address))
		}
	}
	if s.Host == "" {
		faults = append(faults, "name of the host: missing")
	}
	if net.ParseIP(s.IP) == nil {
		faults = append(faults, fmt.Sprintf("IP address of the host: %q is not an IP address", s.IP))
	}
	if s.FirstPort < 1 || s.LastPort < s.FirstPort+portCount-1 {
		faults = append(faults, fmt.Sprintf("port range: %d to %d, want %d ports or more", s.FirstPort, s.LastPort, portCount))
	}
	for name, d := range map[string]basilmoor.Millis{
		"time until a revoked key must be rejected":         s.RevocationTimeout,
		"time until a leaving target gets no more requests": s.TargetDrain,
		"time from the request to stop until the kill":      s.StopGrace,
		"time until the load balancer withdraws the host":   s.WithdrawalTime,
		"time window of the retry budget":                   s.RetryWindow,
	} {
		if d <= 0 {
			faults = append(faults, name+": must be positive")
		}
	}
	if len(faults) > 0 {
		return &InvalidSettingsError{
			Faults: faults,
		}
	}
	return nil
}

// logAssumed logs the settings that the platform does not name.
func (s Settings) logAssumed(log zerolog.Logger) {
	if s.StopGraceAssumed {
		log.Warn().Int64("stop-grace-ms", int64(s.StopGrace)).Msg("settings without a stop grace")
	}
}

const (
	// requestMemoryDivisor: one part in so many of the process's memory may hold callers'
	// requests, beyond bmmemory.FreeBytes for each connection.
	requestMemoryDivisor = 4

	// minRequestBytes is the least memory for callers' requests. It holds a request of the
	// largest usual size.
	minRequestBytes = 8 << 20

	// defaultRequestBytes applies if the settings name no memory.
	defaultRequestBytes = 64 << 20
)

// requestBytes is the memory that callers' requests may take together.
func (s Settings) requestBytes() int64 {
	if s.MemoryBytes <= 0 {
		return defaultRequestBytes
	}
	return max(s.MemoryBytes/requestMemoryDivisor, minRequestBytes)
}

// maxViewAge is the age of the view from which requests with a key are refused.
func (s Settings) maxViewAge() basilmoor.Millis {
	return s.RevocationTimeout - viewAgeMargin
}

// mbpsPerCore is the link bandwidth that a broker needs for each core it uses.
const mbpsPerCore = 250

// capacity is the host's capacity to act as the broker, in thousandths of a core,
// by which hosts are compared. It is limited by the cores and the link bandwidth.
func (s Settings) capacity() int {
	cores := s.CPUFraction
	if s.LinkMbps > 0 {
		cores = min(cores, s.LinkMbps/mbpsPerCore)
	}
	return int(1000 * cores)
}

// Offsets from FirstPort.
const (
	portPeers = iota
	portMetrics
	portCount
)

func (s Settings) metricsAddress() string {
	if s.MetricsPort > 0 {
		return net.JoinHostPort(s.IP, fmt.Sprint(s.MetricsPort))
	}
	return s.port(portMetrics)
}

// port returns the address of the port at an offset from FirstPort.
func (s Settings) port(offset int) string {
	return net.JoinHostPort(s.IP, fmt.Sprint(s.FirstPort+offset))
}
