package bmpeer

import (
	"crypto/tls"
	"crypto/x509"
	"net/netip"
	"os"

	"github.com/pkg/errors"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
)

// TLSFiles holds the paths of the PEM files of a node's certificate, its private
// key, and the authority that signs the certificates of all nodes. If all three
// are empty, nodes communicate in plain text, on loopback addresses only.
type TLSFiles struct {
	Certificate string
	Key         string
	Authority   string
}

// Enabled reports whether any path is set.
func (f TLSFiles) Enabled() bool {
	return f.Certificate != "" || f.Key != "" || f.Authority != ""
}

// load returns the TLS configuration for clients and servers: each side presents
// its certificate and verifies that of the other side against the authority.
func (f TLSFiles) load() (*tls.Config, error) {
	pair, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return nil, errors.Wrap(err, "load the node's certificate")
	}
	pem, err := os.ReadFile(f.Authority)
	if err != nil {
		return nil, errors.Wrap(err, "read the certificate authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("%s holds no certificate", f.Authority)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{pair},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}, nil
}

// transportCredentials returns TLS credentials if f is enabled, and otherwise
// credentials for plain text.
func transportCredentials(f TLSFiles) (credentials.TransportCredentials, error) {
	if !f.Enabled() {
		return insecure.NewCredentials(), nil
	}
	cfg, err := f.load()
	if err != nil {
		return nil, err
	}
	return credentials.NewTLS(cfg), nil
}

// PlainTextError reports an address to which the fleet secret would be sent in
// plain text over the network.
type PlainTextError struct {
	Address string
}

func (e *PlainTextError) Error() string {
	return "plain text is allowed on loopback addresses only, not on " + e.Address
}

// checkAddress returns an error unless address is an IP address and port. Without
// TLS, only loopback addresses are allowed.
func checkAddress(address string, f TLSFiles) error {
	ap, err := netip.ParseAddrPort(address)
	if err != nil {
		return errors.Wrapf(err, "address %q is not an IP address and port", address)
	}
	if !f.Enabled() && !ap.Addr().Unmap().IsLoopback() {
		return &PlainTextError{
			Address: address,
		}
	}
	return nil
}
