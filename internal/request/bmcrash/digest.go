package bmcrash

import "github.com/cespare/xxhash/v2"

// Digest returns a hash that identifies a request when its caller sends it again
// under another request id. workspace is empty for a request without one.
func Digest(workspace, method, uri string, body []byte) uint64 {
	d := xxhash.New()
	for _, s := range []string{workspace, method, uri} {
		_, _ = d.WriteString(s)
		_, _ = d.WriteString("\x00")
	}
	_, _ = d.Write(body)
	return d.Sum64()
}

// partDomain keeps the keys of parts apart from the digests of requests.
const partDomain = "part\x00"

// PartKey returns the key under which crashes caused by a part of a prompt are
// recorded.
func PartKey(id string) uint64 {
	return xxhash.Sum64String(partDomain + id)
}
