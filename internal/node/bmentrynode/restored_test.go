package bmentrynode_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	bmplatform "basilmoor.example/basilmoor/platform"
)

// Guards against a fleet that takes up a revoked key or misses later changes because its
// store came back from a copy, that is lost to the copy's leases, or that makes hosts
// which start later wait for the store to settle once more.
func TestStoreRestoredFromACopy(t *testing.T) {
	f := newFleet(t, 3)
	f.configure(`"k","revoked"`)
	for _, n := range f.nodes {
		f.eventually("key in effect", func() bool {
			return f.send(n, http.MethodGet, "/lookup/1", "revoked").status == http.StatusOK
		})
	}
	c := f.store.Copy()
	f.configure(`"k"`)
	for _, n := range f.nodes {
		f.eventually("key refused", func() bool {
			return f.send(n, http.MethodGet, "/lookup/1", "revoked").status == http.StatusUnauthorized
		})
	}
	registrations := f.store.Calls("/kv-lease")
	f.store.Restore(c)
	f.eventually("all hosts have registered again", func() bool {
		return f.store.Calls("/kv-lease") >= registrations+len(f.nodes)
	})
	f.eventually("settled", func() bool { return f.store.Has(bmplatform.KeySettledEra) })
	for _, n := range f.nodes {
		require.NotEqual(t, http.StatusOK, f.send(n, http.MethodGet, "/lookup/1", "revoked").status)
		require.Equal(t, http.StatusOK, f.send(n, http.MethodGet, "/lookup/1", "k").status)
	}
	f.configure(`"k","new"`)
	for _, n := range f.nodes {
		f.eventually("later change in effect", func() bool {
			return f.send(n, http.MethodGet, "/lookup/1", "new").status == http.StatusOK
		})
		require.Equal(t, http.StatusUnauthorized, f.send(n, http.MethodGet, "/lookup/1", "revoked").status)
	}
	for _, n := range f.nodes {
		_, lost := n.logged.of("broker lost")
		require.False(t, lost, "%s lost its broker", n.settings.Host)
	}
}
