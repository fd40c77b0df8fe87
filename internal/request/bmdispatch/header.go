package bmdispatch

import (
	"net/http"
	"strings"

	"basilmoor.example/basilmoor"
)

// Names of the headers that Basilmoor defines for targets and callers, and of
// the engine's header that names a stream.
const (
	HeaderOutcome    = "Basilmoor-Outcome"
	HeaderRequestID  = "Basilmoor-Request-Id"
	HeaderLeaving    = "Basilmoor-Leaving"
	HeaderRequestKey = "Basilmoor-Request-Key"
	HeaderWorkspace  = "Basilmoor-Workspace"
	HeaderStreamID   = "Engine-Stream-Id"

	basilmoorPrefix = "Basilmoor-"
)

// hopByHop lists the headers that apply to a single connection.
var hopByHop = []string{
	"Connection",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}

// notForwarded lists request headers that are not forwarded to targets: the
// bearer token, headers that describe the caller's connection or message
// framing, and the idempotency keys, which would make net/http retry a request.
var notForwarded = []string{
	"Authorization",
	"Content-Length",
	"Expect",
	"Host",
	"Idempotency-Key",
	"X-Idempotency-Key",
}

// targetHeader returns the request headers to send to the target.
func targetHeader(r Request, id basilmoor.RequestID, t basilmoor.Target) http.Header {
	h := r.Header.Clone()
	if h == nil {
		h = make(http.Header)
	}
	removeBasilmoorHeaders(h)
	removeHopByHopHeaders(h)
	for _, name := range notForwarded {
		h.Del(name)
	}
	if t.Type == basilmoor.EngineTarget {
		// The stream must not be compressed, because its events are counted.
		h.Del("Accept-Encoding")
	}
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = nil // prevents net/http from adding a default
	}
	h.Set(HeaderRequestID, string(id))
	if r.Workspace != "" {
		h.Set(HeaderWorkspace, r.Workspace)
	}
	if r.Key != "" {
		h.Set(HeaderRequestKey, r.Key)
	}
	return h
}

// callerHeader returns the response headers to send to the caller.
func callerHeader(h http.Header) http.Header {
	h = h.Clone()
	removeBasilmoorHeaders(h)
	removeHopByHopHeaders(h)
	h.Del("Content-Length")
	return h
}

func removeBasilmoorHeaders(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, basilmoorPrefix) {
			delete(h, name)
		}
	}
}

func removeHopByHopHeaders(h http.Header) {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}
