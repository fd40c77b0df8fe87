package bmpeer

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"basilmoor.example/basilmoor"
)

// Guards against framing above TCP that exceeds what the measurements of
// heartbeat traffic assume: 53 bytes for a request and 45 for a response.
func TestFramingOfCalls(t *testing.T) {
	const calls = 100
	pool := newPool(t, "right")
	peer := basilmoor.Member{
		Address: serve(t, ServerConfig{
			Membership: &fakeBeater{},
		}),
	}
	beat := func() {
		_, err := pool.Exchange(context.Background(), peer, fullBeat())
		require.NoError(t, err)
	}
	beat()
	sent, received := pool.Bytes()
	for range calls {
		beat()
	}
	payload := int64(proto.Size(EncodeHeartbeat(fullBeat())))
	sentAfter, receivedAfter := pool.Bytes()
	request := (sentAfter-sent)/calls - payload
	response := (receivedAfter-received)/calls - payload
	t.Logf("framing: request %d, response %d bytes", request, response)
	require.LessOrEqual(t, request, int64(53))
	require.LessOrEqual(t, response, int64(45))
}
