package grpcbalancer

import (
	"time"

	"google.golang.org/grpc/attributes"
	"google.golang.org/grpc/resolver"
)

// ServerInfo is what a resolver knows of an address beside the address.
type ServerInfo struct {
	Zone, Kind, Cell int
	Draining         bool      // wants nothing new
	Started          time.Time // of its process; the zero time is long ago
}

type serverInfoKey struct{}

// WithServerInfo attaches what is known of a server to its address.
func WithServerInfo(a resolver.Address, s ServerInfo) resolver.Address {
	a.BalancerAttributes = attributes.New(serverInfoKey{}, s)
	return a
}

// Equal lets grpc compare attributes.
func (s ServerInfo) Equal(o any) bool { other, ok := o.(ServerInfo); return ok && s == other }
