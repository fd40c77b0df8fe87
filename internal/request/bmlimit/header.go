package bmlimit

import "net/http"

// HeaderBytes is the size of a request's URI and header fields as they were
// sent, for a limit on it.
func HeaderBytes(r *http.Request) int {
	n := len(r.RequestURI)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}
