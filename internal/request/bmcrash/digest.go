package bmcrash

import "github.com/cespare/xxhash/v2"

// Digest identifies a request of a workspace, empty for none, among those that
// crash targets. A caller that sends it again does so under another id.
func Digest(workspace, method, uri string, body []byte) uint64 {
	d := xxhash.New()
	for _, s := range []string{workspace, method, uri} {
		_, _ = d.WriteString(s)
		_, _ = d.WriteString("\x00")
	}
	_, _ = d.Write(body)
	return d.Sum64()
}
