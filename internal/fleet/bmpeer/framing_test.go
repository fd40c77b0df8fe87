package bmpeer

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"basilmoor.example/basilmoor"
)

// Guards against framing overhead above TCP that exceeds what the measurements of
// heartbeat traffic assume: 53 bytes per request and 45 per response.
func TestFramingOfCalls(t *testing.T) {
	const calls = 100
	pool := newPool(t, "right")
	peer := basilmoor.Member{
		Address: startServer(t, ServerConfig{
			Membership: &fakeHeartbeatHandler{},
		}),
	}
	sendHeartbeat := func() {
		_, err := pool.Exchange(context.Background(), peer, heartbeatWithAllFields())
		require.NoError(t, err)
	}
	sendHeartbeat()
	sent, received := pool.Bytes()
	for range calls {
		sendHeartbeat()
	}
	payload := int64(proto.Size(EncodeHeartbeat(heartbeatWithAllFields())))
	sentAfter, receivedAfter := pool.Bytes()
	request := (sentAfter-sent)/calls - payload
	response := (receivedAfter-received)/calls - payload
	t.Logf("framing: request %d, response %d bytes", request, response)
	require.LessOrEqual(t, request, int64(53))
	require.LessOrEqual(t, response, int64(45))
}
