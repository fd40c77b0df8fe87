package bmdispatch

import (
	"context"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
)

// Guards against a transport that writes after the exchange was closed, or that
// writes the request to a second connection.
func TestLateWritesAreRefused(t *testing.T) {
	newConn := func() *conn {
		a, b := net.Pipe()
		t.Cleanup(func() {
			_ = a.Close()
			_ = b.Close()
		})
		go func() { _, _ = b.Read(make([]byte, 10)) }()
		return &conn{
			Conn:  a,
			clock: newManualClock(),
		}
	}
	e := newExchange(newManualClock(), DefaultSettings(), controlGate{}, 1, func() {})
	first, second := newConn(), newConn()
	_, err := first.Write([]byte("x"))
	require.ErrorIs(t, err, errNoExchange)
	e.attach(first, false)
	_, err = first.Write([]byte("x"))
	require.NoError(t, err)
	e.attach(second, false)
	_, err = second.Write([]byte("x"))
	require.ErrorIs(t, err, errNoExchange)
	e.close()
	_, err = first.Write([]byte("x"))
	require.Error(t, err)

	late := newExchange(newManualClock(), DefaultSettings(), controlGate{}, 1, func() {})
	late.close()
	require.ErrorIs(t, late.beginWrite(), errExchangeClosed)
}

// Guards against sending a request whose grant or claim expired while the
// connection was being established.
func TestExpiredBeforeFirstByte(t *testing.T) {
	target := newRawTarget(t, func(*rawTarget, string) targetAction {
		return targetAction{
			send: okResponse,
		}
	})
	d, _ := newTestDispatcher(t)
	r := chatRequest()
	r.StillValid = func() bool { return false }
	state := newGrantedRequest(t, "r")
	result := d.Do(context.Background(), state, target.target(basilmoor.EngineTarget), r, &recordingSink{}, ignoreProgress)
	require.True(t, result.Retryable)
	require.Equal(t, basilmoor.ReasonGrantExpired, result.Reason)
	require.NoError(t, state.Wait())
	require.Zero(t, target.count("POST"))
}
