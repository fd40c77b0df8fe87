package bmentry

import (
	"cmp"
	"fmt"
	"net/http"
	"strconv"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/schedule/bmholdoff"
)

// testProtocol implements Protocol and bmexchange.ResponseInspector with short
// headers.
type testProtocol struct{}

func (testProtocol) Decode(h http.Header) (RequestInfo, error) {
	limit, err := strconv.Atoi(cmp.Or(h.Get("Limit"), "0"))
	return RequestInfo{
		ID:          h.Get("Id"),
		TimeLimit:   basilmoor.Millis(limit),
		Key:         h.Get("Key"),
		LastEventID: h.Get("Last"),
		SharedParts: h.Values("Part"),
	}, err
}

func (testProtocol) RequestHeader(_ http.Header, info ForwardInfo) http.Header {
	return http.Header{
		"Target":    []string{info.Target},
		"Workspace": []string{info.Workspace},
		"Last":      []string{info.LastEventID},
	}
}

func (testProtocol) ResponseHeader(h http.Header) http.Header { return h.Clone() }

func (testProtocol) SetRetryAfter(h http.Header, after basilmoor.Millis) {
	h.Set("Retry-After", fmt.Sprint(int64(after)))
}

func (testProtocol) RequestIDOf(http.Header) string { return "1" }

func (testProtocol) NotRun(_ int, h http.Header) bool { return h.Get("Not-Run") != "" }

func (testProtocol) NoticeOf(int, http.Header) (bmholdoff.Notice, bool) {
	return bmholdoff.Notice{}, true
}
