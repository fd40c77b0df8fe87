package bmpeer

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
)

// secretMetadataKey is the metadata key that carries the fleet secret.
const secretMetadataKey = "basilmoor-fleet-secret"

// secretVerifier provides interceptors that reject calls without the fleet
// secret.
type secretVerifier struct {
	digest [sha256.Size]byte
}

func newSecretVerifier(secret string) secretVerifier {
	return secretVerifier{
		digest: sha256.Sum256([]byte(secret)),
	}
}

// verify returns an error unless the call carries the fleet secret. It compares
// digests, so that its timing reveals neither the content nor the length of the
// secret.
func (c secretVerifier) verify(ctx context.Context) error {
	md, _ := metadata.FromIncomingContext(ctx)
	values := md.Get(secretMetadataKey)
	if len(values) != 1 {
		return status.Error(codes.Unauthenticated, "fleet secret required")
	}
	got := sha256.Sum256([]byte(values[0]))
	if subtle.ConstantTimeCompare(got[:], c.digest[:]) != 1 {
		return status.Error(codes.Unauthenticated, "fleet secret does not match")
	}
	return nil
}

func (c secretVerifier) unary(ctx context.Context, req any, _ *grpc.UnaryServerInfo, next grpc.UnaryHandler) (any, error) {
	if err := c.verify(ctx); err != nil {
		return nil, err
	}
	return next(ctx, req)
}

func (c secretVerifier) stream(srv any, ss grpc.ServerStream, _ *grpc.StreamServerInfo, next grpc.StreamHandler) error {
	if err := c.verify(ss.Context()); err != nil {
		return err
	}
	return next(srv, ss)
}

// secretCredentials adds the fleet secret to the metadata of every call.
type secretCredentials struct {
	secret     string
	requireTLS bool
}

func (c secretCredentials) GetRequestMetadata(context.Context, ...string) (map[string]string, error) {
	return map[string]string{
		secretMetadataKey: c.secret,
	}, nil
}

func (c secretCredentials) RequireTransportSecurity() bool { return c.requireTLS }
