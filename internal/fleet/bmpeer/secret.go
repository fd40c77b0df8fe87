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

// secretKey is the metadata key of the fleet secret.
const secretKey = "basilmoor-fleet-secret"

// secretCheck admits the calls that carry the fleet secret.
type secretCheck struct {
	digest [sha256.Size]byte
}

func newSecretCheck(secret string) secretCheck {
	return secretCheck{
		digest: sha256.Sum256([]byte(secret)),
	}
}

// admit compares digests, so that the time taken tells neither the content nor
// the length of the secret.
func (c secretCheck) admit(ctx context.Context) error {
	md, _ := metadata.FromIncomingContext(ctx)
	values := md.Get(secretKey)
	if len(values) != 1 {
		return status.Error(codes.Unauthenticated, "fleet secret required")
	}
	got := sha256.Sum256([]byte(values[0]))
	if subtle.ConstantTimeCompare(got[:], c.digest[:]) != 1 {
		return status.Error(codes.Unauthenticated, "fleet secret does not match")
	}
	return nil
}

func (c secretCheck) unary(ctx context.Context, req any, _ *grpc.UnaryServerInfo, next grpc.UnaryHandler) (any, error) {
	if err := c.admit(ctx); err != nil {
		return nil, err
	}
	return next(ctx, req)
}

func (c secretCheck) stream(srv any, ss grpc.ServerStream, _ *grpc.StreamServerInfo, next grpc.StreamHandler) error {
	if err := c.admit(ss.Context()); err != nil {
		return err
	}
	return next(srv, ss)
}

// secretCredentials adds the fleet secret to every call of a client.
type secretCredentials struct {
	secret string
	secure bool
}

func (c secretCredentials) GetRequestMetadata(context.Context, ...string) (map[string]string, error) {
	return map[string]string{
		secretKey: c.secret,
	}, nil
}

func (c secretCredentials) RequireTransportSecurity() bool { return c.secure }
