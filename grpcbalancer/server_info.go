package grpcbalancer

import (
	"time"

	"google.golang.org/grpc/attributes"
	"google.golang.org/grpc/resolver"

	"cinderroad/loadbalancer"
)

// ServerInfo describes the server at an address; a resolver attaches it by WithServerInfo.
type ServerInfo struct {
	Zone, Kind, Cell int       // as in loadbalancer.Worker
	Draining         bool      // finishes its calls and gets no new ones
	Started          time.Time // of its process; the zero time: long ago, so no slow start
}

// serverInfoKey is the key of a ServerInfo in the attributes of an address.
type serverInfoKey struct{}

// WithServerInfo attaches what is known of a server to its address.
func WithServerInfo(address resolver.Address, info ServerInfo) resolver.Address {
	address.BalancerAttributes = attributes.New(serverInfoKey{}, info)
	return address
}

// worker returns the entry of the worker list for a server.
func (s ServerInfo) worker(id loadbalancer.WorkerID) loadbalancer.Worker {
	worker := loadbalancer.Worker{ID: id, Zone: s.Zone, Kind: s.Kind, Cell: s.Cell, State: loadbalancer.Ready, Weight: 1}
	if s.Draining {
		worker.State = loadbalancer.Draining
	}
	if !s.Started.IsZero() {
		worker.StartedAt = float64(s.Started.UnixMicro()) / microsPerSecond
	}
	return worker
}

// Equal lets grpc compare attributes.
func (s ServerInfo) Equal(o any) bool {
	other, ok := o.(ServerInfo)
	return ok && s == other
}
