package bmdispatch

import (
	"net/http"
	"strings"

	"basilmoor.example/basilmoor"
)

// Headers of our own protocol with targets and callers.
const (
	HeaderOutcome   = "Basilmoor-Outcome"
	HeaderRequestID = "Basilmoor-Request-Id"
	HeaderLeaving   = "Basilmoor-Leaving"
	HeaderKey       = "Basilmoor-Request-Key"
	HeaderWorkspace = "Basilmoor-Workspace"
	HeaderStreamID  = "Engine-Stream-Id"

	ownPrefix = "Basilmoor-"
)

// hopByHop lists the headers that concern one connection only.
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

// private lists what is between the caller and us: the bearer token, the
// framing, and the keys that would make net/http resend a request.
var private = []string{
	"Authorization",
	"Content-Length",
	"Expect",
	"Host",
	"Idempotency-Key",
	"X-Idempotency-Key",
}

// targetHeader returns the headers that go to the target.
func targetHeader(r Request, id basilmoor.RequestID, t basilmoor.Target) http.Header {
	h := r.Header.Clone()
	if h == nil {
		h = make(http.Header)
	}
	dropOwn(h)
	dropHops(h)
	for _, name := range private {
		h.Del(name)
	}
	if t.Type == basilmoor.EngineTarget {
		// Events are counted, so that the stream must not be compressed.
		h.Del("Accept-Encoding")
	}
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = nil // keeps net/http from adding its own
	}
	h.Set(HeaderRequestID, string(id))
	if r.Workspace != "" {
		h.Set(HeaderWorkspace, r.Workspace)
	}
	if r.Key != "" {
		h.Set(HeaderKey, r.Key)
	}
	return h
}

// callerHeader returns the headers of the response that go to the caller.
func callerHeader(h http.Header) http.Header {
	h = h.Clone()
	dropOwn(h)
	dropHops(h)
	h.Del("Content-Length")
	return h
}

func dropOwn(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, ownPrefix) {
			delete(h, name)
		}
	}
}

func dropHops(h http.Header) {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}
