// Package bmresponse checks what net/http accepts in a target's response although it is no
// answer to a request.
package bmresponse

import (
	"fmt"
	"net/http"
)

// maxStatus is the largest status of HTTP. net/http accepts any three digits.
const maxStatus = 599

// StatusLineError means that a target sent a status line that is no answer to a request:
// a status outside of 100 to 599, one that nothing has asked for, or another version than
// HTTP/1.
type StatusLineError struct {
	Proto  string
	Status int
}

func (e *StatusLineError) Error() string {
	return fmt.Sprintf("the target's status line is no answer: %s %03d", e.Proto, e.Status)
}

// CheckStatusLine returns a *StatusLineError if the status line of a response, interim or
// final, is no answer to a request that asks for no upgrade. What follows such a line can't
// be told from damage.
func CheckStatusLine(resp *http.Response) error {
	if resp.ProtoMajor == 1 && resp.StatusCode >= http.StatusContinue && resp.StatusCode <= maxStatus && resp.StatusCode != http.StatusSwitchingProtocols {
		return nil
	}
	return &StatusLineError{
		Proto:  resp.Proto,
		Status: resp.StatusCode,
	}
}
