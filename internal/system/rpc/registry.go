package rpc

import (
	"context"
	netrpc "net/rpc"
)

// Registry holds the handlers of a server. It serves one call of Serve: when that ends, so do the handlers' contexts.
type Registry struct {
	server         *netrpc.Server
	handlerContext context.Context
	cancelHandlers context.CancelFunc
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	ctx, cancel := context.WithCancel(context.Background())
	return &Registry{server: netrpc.NewServer(), handlerContext: ctx, cancelHandlers: cancel}
}

func (r *Registry) register(name string, receiver any) {
	if err := r.server.RegisterName(name, receiver); err != nil {
		panic(err)
	}
}
