package bmdispatch

import (
	"context"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
)

// Guards against a transport that writes after the exchange was given up, or
// writes its bytes to a second connection.
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
			clock: newManual(),
		}
	}
	e := newExchange(newManual(), DefaultSettings(), openGate{}, 1, func() {})
	first, second := newConn(), newConn()
	_, err := first.Write([]byte("x"))
	require.ErrorIs(t, err, errNoExchange)
	e.attach(first)
	_, err = first.Write([]byte("x"))
	require.NoError(t, err)
	e.attach(second)
	_, err = second.Write([]byte("x"))
	require.ErrorIs(t, err, errNoExchange)
	e.close()
	_, err = first.Write([]byte("x"))
	require.Error(t, err)

	late := newExchange(newManual(), DefaultSettings(), openGate{}, 1, func() {})
	late.close()
	require.ErrorIs(t, late.beginWrite(), errExchangeOver)
}

// Guards against a dispatch with a grant or a claim that expired while the
// connection was being made.
func TestExpiredBeforeFirstByte(t *testing.T) {
	target := newRawTarget(t, func(*rawTarget, string) step {
		return step{
			send: okResponse,
		}
	})
	d, _ := newTestDispatcher(t)
	r := chatRequest()
	r.Valid = func() bool { return false }
	a := granted(t, "r")
	result := d.Do(context.Background(), a, target.target(basilmoor.EngineTarget), r, &memorySink{}, noProgress)
	require.True(t, result.Retryable)
	require.Equal(t, basilmoor.ReasonGrantExpired, result.Reason)
	require.NoError(t, a.Wait())
	require.Zero(t, target.count("POST"))
}
