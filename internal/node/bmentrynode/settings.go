package bmentrynode

import (
	"fmt"
	"net"
	"strings"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/schedule/bmgrant"
)

// Settings are what a process learns at its start.
type Settings struct {
	Host       string
	IP         string
	DataCentre string
	Region     string

	CallersAddress string // IP address and port
	ReadyAddress   string
	StoreAddress   string
	FirstPort      int // of the ports for other uses
	LastPort       int

	MemoryBytes int64   // bound of the process
	MaxFiles    int     // bound of open files and sockets
	CPUFraction float64 // cores, mostly less than 1
	LinkMbps    float64 // bandwidth of the host's link

	MinLease     basilmoor.Millis // shortest lease that the store grants
	AddressReuse basilmoor.Millis // before another target gets an address
	StopGrace    basilmoor.Millis // between the request to stop and the kill
	TargetDrain  basilmoor.Millis // before a leaving target gets no request
	// Revocation is the time after which a key that was taken away must not
	// work on any host.
	Revocation         basilmoor.Millis
	TargetReportPeriod basilmoor.Millis

	// RetryRatio and RetrySlack bound what all hosts send more than once in
	// RetryWindow: the ratio to requests, and a number in addition.
	RetryRatio  float64
	RetryWindow basilmoor.Millis
	RetrySlack  float64

	// Tolerance is what workspaces may spend over their allowances.
	Tolerance bmgrant.Tolerance

	// MetricsPort is where metrics are served; 0 selects the second port
	// between hosts.
	MetricsPort int

	// FirstStart means that the whole system starts for the first time.
	FirstStart bool

	// LocalScheduling makes the host serve its requests with its own share
	// of the slots, without a broker.
	LocalScheduling bool
}

// InvalidSettingsError lists the faults of settings.
type InvalidSettingsError struct {
	Faults []string
}

func (e *InvalidSettingsError) Error() string {
	return "invalid settings:\n  " + strings.Join(e.Faults, "\n  ")
}

// Check returns an *InvalidSettingsError if a needed setting is missing or
// wrong.
func (s Settings) Check() error {
	var faults []string
	for name, address := range map[string]string{
		"address for callers":             s.CallersAddress,
		"address for readiness questions": s.ReadyAddress,
		"address of the store":            s.StoreAddress,
	} {
		if host, _, err := net.SplitHostPort(address); err != nil || net.ParseIP(host) == nil {
			faults = append(faults, fmt.Sprintf("%s: %q is not an IP address and port", name, address))
		}
	}
	if s.Host == "" {
		faults = append(faults, "name of the host: missing")
	}
	if net.ParseIP(s.IP) == nil {
		faults = append(faults, fmt.Sprintf("IP address of the host: %q", s.IP))
	}
	if s.FirstPort < 1 || s.LastPort < s.FirstPort+portsUsed-1 {
		faults = append(faults, fmt.Sprintf("ports between hosts: %d to %d, want %d or more", s.FirstPort, s.LastPort, portsUsed))
	}
	for name, d := range map[string]basilmoor.Millis{
		"time until a revoked key must not work":   s.Revocation,
		"time until a leaving target gets no more": s.TargetDrain,
		"time between the stop and the kill":       s.StopGrace,
		"window of the retry budget":               s.RetryWindow,
	} {
		if d <= 0 {
			faults = append(faults, name+": missing")
		}
	}
	if len(faults) > 0 {
		return &InvalidSettingsError{
			Faults: faults,
		}
	}
	return nil
}

// maxProofAge is the age of the view's proof from which keyed requests are
// refused.
func (s Settings) maxProofAge() basilmoor.Millis {
	return s.Revocation - proofMargin
}

// mbpsPerCore is the bandwidth that a core's worth of duties needs.
const mbpsPerCore = 250

// capacity compares this host with others as a bearer of duties, in
// thousandths of a core.
func (s Settings) capacity() int {
	cores := s.CPUFraction
	if s.LinkMbps > 0 {
		cores = min(cores, s.LinkMbps/mbpsPerCore)
	}
	return int(1000 * cores)
}

// Ports of the range between hosts, as offsets from its first.
const (
	portPeers = iota
	portMetrics
	portsUsed
)

func (s Settings) metricsAddress() string {
	if s.MetricsPort > 0 {
		return net.JoinHostPort(s.IP, fmt.Sprint(s.MetricsPort))
	}
	return s.port(portMetrics)
}

func (s Settings) port(offset int) string {
	return net.JoinHostPort(s.IP, fmt.Sprint(s.FirstPort+offset))
}
