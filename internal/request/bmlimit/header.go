package bmlimit

import "net/http"

// HeaderBytes returns the size on the wire of a request's URI and header fields.
func HeaderBytes(r *http.Request) int {
	n := len(r.RequestURI)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}
