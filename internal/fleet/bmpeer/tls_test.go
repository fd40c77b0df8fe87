package bmpeer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/fleet/bmmember"
)

// authority is a certificate authority for the nodes of one fleet.
type authority struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

func newAuthority(t *testing.T, name string) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject: pkix.Name{
			CommonName: name,
		},
		NotBefore:             time.Unix(0, 0),
		NotAfter:              time.Date(2200, 1, 1, 0, 0, 0, 0, time.UTC),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	cert, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	return &authority{
		t:    t,
		cert: cert,
		key:  key,
		pem:  encodePEM("CERTIFICATE", der),
	}
}

func encodePEM(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{
		Type:  kind,
		Bytes: der,
	})
}

// issue creates a key and a certificate for one host and writes its TLS files.
func (a *authority) issue() TLSFiles {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(a.t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2),
		NotBefore:    time.Unix(0, 0),
		NotAfter:     time.Date(2200, 1, 1, 0, 0, 0, 0, time.UTC),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{
			x509.ExtKeyUsageServerAuth,
			x509.ExtKeyUsageClientAuth,
		},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	require.NoError(a.t, err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	require.NoError(a.t, err)
	dir := a.t.TempDir()
	write := func(name string, b []byte) string {
		path := filepath.Join(dir, name)
		require.NoError(a.t, os.WriteFile(path, b, 0o600))
		return path
	}
	return TLSFiles{
		Certificate: write("host.pem", encodePEM("CERTIFICATE", der)),
		Key:         write("host.key", encodePEM("PRIVATE KEY", keyDER)),
		Authority:   write("authority.pem", a.pem),
	}
}

// Guards against admitting a peer that has the fleet secret but no certificate
// signed by the fleet's authority.
func TestCertificates(t *testing.T) {
	own := newAuthority(t, "fleet")
	other := newAuthority(t, "other")
	address := startServer(t, ServerConfig{
		TLS:        own.issue(),
		Membership: &fakeHeartbeatHandler{},
	})
	tests := map[string]struct {
		files    TLSFiles
		accepted bool
	}{
		"own authority": {
			files:    own.issue(),
			accepted: true,
		},
		"other authority": {
			files: other.issue(),
		},
		"plain text": {},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p, cleanup, err := NewPool(PoolConfig{
				Secret: "right",
				TLS:    tt.files,
			})
			require.NoError(t, err)
			defer cleanup()
			_, err = p.Exchange(context.Background(), basilmoor.Member{
				Host:    "entry-2",
				Address: address,
			}, bmmember.Heartbeat{
				Self: basilmoor.Member{
					Host:        "entry-1",
					Incarnation: 1,
				},
			})
			require.Equal(t, tt.accepted, err == nil, "%v", err)
		})
	}
}
