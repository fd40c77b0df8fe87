package bmsettings

import "basilmoor.example/basilmoor"

// NodeSettings holds the settings of a node.
type NodeSettings struct {
	Host       string
	DataCentre string
	Region     string

	CallersAddress string
	PeersAddress   string
	AdminAddress   string

	// AdvertiseAddress is the address that peers dial. If it is empty, peers
	// dial the address that the node listens on.
	AdvertiseAddress string

	StoreURL    string
	HostListURL string

	// PeerCertificate, PeerKey and PeerAuthority name PEM files. Without them,
	// only peers on loopback addresses can be reached.
	PeerCertificate string
	PeerKey         string
	PeerAuthority   string

	FleetSecret    string
	OperatorTokens []OperatorToken

	StopLimit        basilmoor.Millis
	FirstByteTimeout basilmoor.Millis
	ReadIdleTimeout  basilmoor.Millis
	StoreTimeout     basilmoor.Millis
	StoreReads       int
	StoreWrites      int
	QueueRequests    int
	QueueBytes       int
	MemoryMB         int
	LogLevel         string
}

// NewNodeSet returns the settings of the node subcommand and the value that Parse
// fills in.
func NewNodeSet() (*FlagSet, *NodeSettings) {
	n := &NodeSettings{}
	s := NewSet("node", "Runs one entry host: the listener for callers, the brokers, the claims and the configuration.")
	s.Name(&n.Host, "host", "", "name of this host, unique in the fleet")
	s.Name(&n.DataCentre, "data-centre", "", "data centre of this host")
	s.Name(&n.Region, "region", "", "region of the data centre")
	s.Address(&n.CallersAddress, "callers-address", "127.0.0.1:8080", "listener for callers")
	s.Address(&n.PeersAddress, "peers-address", "127.0.0.1:8081", "listener for the other nodes")
	s.Address(&n.AdminAddress, "admin-address", "127.0.0.1:8082", "listener for operators")
	s.OptionalAddress(&n.AdvertiseAddress, "advertise-address", "address at which peers reach this host, if not peers-address")
	s.URL(&n.StoreURL, "store-url", "", "base URL of the platform's key-value service")
	s.URL(&n.HostListURL, "host-list-url", "", "base URL of the platform's list of hosts")
	s.Secret(&n.FleetSecret, "fleet-secret", "secret that all nodes of the fleet share")
	s.OptionalFile(&n.PeerCertificate, "peer-certificate", "certificate of this host towards its peers, PEM; needed unless peers are on loopback addresses")
	s.OptionalFile(&n.PeerKey, "peer-key", "private key of peer-certificate, PEM")
	s.OptionalFile(&n.PeerAuthority, "peer-authority", "certificates that peers' certificates must be signed by, PEM")
	s.OperatorTokens(&n.OperatorTokens, "operator-tokens", "who may use the administration API")
	s.Millis(&n.StopLimit, "stop-limit-ms", 10*basilmoor.Minute, 0, 60*basilmoor.Minute, "longest wait for requests in progress at a planned stop")
	s.Millis(&n.FirstByteTimeout, "first-byte-ms", basilmoor.Minute, 100, 10*basilmoor.Minute, "longest silence of a target before the first byte of its response")
	s.Millis(&n.ReadIdleTimeout, "between-bytes-ms", 10*basilmoor.Second, 100, 10*basilmoor.Minute, "longest silence of a target inside a response")
	s.Millis(&n.StoreTimeout, "store-timeout-ms", 2*basilmoor.Second, 10, basilmoor.Minute, "bound of one call to the store")
	s.Int(&n.StoreReads, "store-reads-per-second", 50, 1, 2000, "budget of reads from the store")
	s.Int(&n.StoreWrites, "store-writes-per-second", 50, 1, 500, "budget of writes to the store")
	s.Int(&n.QueueRequests, "queue-requests", 20000, 1, 1000000, "bound of waiting requests in a pool")
	s.Int(&n.QueueBytes, "queue-bytes", 256<<20, 1<<20, 16<<30, "bound of waiting bodies in a pool")
	s.Int(&n.MemoryMB, "memory-mb", 1024, 64, 1<<20, "memory of the process; a quarter of it may hold callers' requests")
	s.OneOf(&n.LogLevel, "log-level", "info", []string{"debug", "info", "warn", "error"}, "lowest level that is logged")
	return s, n
}
