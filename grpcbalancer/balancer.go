package grpcbalancer

import (
	"encoding/json"
	"errors"
	"fmt"
	"sync"

	"google.golang.org/grpc/balancer"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/resolver"
	"google.golang.org/grpc/serviceconfig"

	"cinderroad/internal/dispatcher/dispatch"
	"cinderroad/loadbalancer"
)

// balancerName is the name of the policy in service configurations.
const balancerName = "cinderroad"

// The registry holds the open Dispatchers by name: a service configuration is text, and can refer to one by its name only.
var (
	registryMu sync.Mutex
	registry   = map[string]*Dispatcher{}
	lastName   int
)

// registerDispatcher returns the name under which the service configuration refers to the Dispatcher.
func registerDispatcher(d *Dispatcher) string {
	registryMu.Lock()
	defer registryMu.Unlock()
	lastName++
	name := fmt.Sprint(lastName)
	registry[name] = d
	return name
}

// unregisterDispatcher removes a Dispatcher, whose ClientConn then gets no further server lists.
func unregisterDispatcher(name string) {
	registryMu.Lock()
	defer registryMu.Unlock()
	delete(registry, name)
}

func init() { balancer.Register(balancerBuilder{}) }

// balancerBuilder implements balancer.Builder.
type balancerBuilder struct{}

// balancerConfig is the configuration of the policy in the service configuration.
type balancerConfig struct {
	serviceconfig.LoadBalancingConfig
	Dispatcher string `json:"dispatcher"`
}

// Name implements balancer.Builder.
func (balancerBuilder) Name() string { return balancerName }

// Build implements balancer.Builder.
func (balancerBuilder) Build(clientConn balancer.ClientConn, _ balancer.BuildOptions) balancer.Balancer {
	return &subConnBalancer{clientConn: clientConn}
}

// ParseConfig implements balancer.ConfigParser.
func (balancerBuilder) ParseConfig(text json.RawMessage) (serviceconfig.LoadBalancingConfig, error) {
	var config balancerConfig
	if err := json.Unmarshal(text, &config); err != nil {
		return nil, fmt.Errorf("grpcbalancer: balancer config: %w", err)
	}
	return &config, nil
}

// subConnBalancer keeps a connection to every listed server. The library calls it from one goroutine at a time.
type subConnBalancer struct {
	clientConn balancer.ClientConn
	dispatcher *Dispatcher
}

// UpdateClientConnState implements balancer.Balancer: it hands the resolver's list to the core, connects new servers and closes
// the connections of those that are no longer listed.
func (b *subConnBalancer) UpdateClientConnState(state balancer.ClientConnState) error {
	config, ok := state.BalancerConfig.(*balancerConfig)
	if !ok {
		return errors.New("grpcbalancer: the balancer needs the options of a Dispatcher")
	}
	registryMu.Lock()
	b.dispatcher = registry[config.Dispatcher]
	registryMu.Unlock()
	if b.dispatcher == nil {
		return errors.New("grpcbalancer: no such Dispatcher, or closed")
	}
	d := b.dispatcher
	var unconnected []unconnectedBackend
	var departed []balancer.SubConn
	d.withLock(func() { unconnected, departed = d.updateBackends(state.ResolverState.Addresses) })
	for _, server := range unconnected {
		if err := b.connect(server); err != nil {
			return err
		}
	}
	for _, subConn := range departed { // calls in flight finish: the library closes the connection after them
		subConn.Shutdown()
	}
	b.clientConn.UpdateState(balancer.State{ConnectivityState: connectivity.Ready, Picker: picker{d}})
	return nil
}

// unconnectedBackend is a server without a connection, and where to connect.
type unconnectedBackend struct {
	backend *backend
	address resolver.Address
}

// updateBackends makes the servers those of the list and updates the core; the lock is held. It returns the servers without a
// connection and the connections of the servers that departed.
func (d *Dispatcher) updateBackends(list []resolver.Address) (unconnected []unconnectedBackend, departed []balancer.SubConn) {
	listed := map[string]bool{}
	var members []dispatch.Member
	for _, address := range list {
		if listed[address.Addr] {
			continue
		}
		listed[address.Addr] = true
		server := d.backends[address.Addr]
		if server == nil {
			server = &backend{
				dispatcher: d,
				address:    address.Addr,
				attempts:   map[dispatch.AttemptID]*callAttempt{},
				connection: connection{changed: make(chan struct{})},
			}
			d.backends[address.Addr] = server
		}
		if server.connection.subConn == nil {
			unconnected = append(unconnected, unconnectedBackend{server, address})
		}
		info, _ := address.BalancerAttributes.Value(serverInfoKey{}).(ServerInfo)
		server.worker = info.worker(d.core.WorkerID(address.Addr))
		members = append(members, dispatch.Member{Worker: server.worker, Backend: server, Name: address.Addr})
	}
	for address, server := range d.backends {
		if !listed[address] && server.connection.subConn != nil {
			departed = append(departed, server.connection.subConn)
			server.connection.subConn = nil
			server.connection.ready = false
			delete(d.backends, address)
		}
	}
	d.core.UpdateMembers(loadbalancer.ListFull, members)
	return unconnected, departed
}

// connect makes a server's connection.
func (b *subConnBalancer) connect(server unconnectedBackend) error {
	var subConn balancer.SubConn
	subConn, err := b.clientConn.NewSubConn([]resolver.Address{server.address}, balancer.NewSubConnOptions{
		StateListener: func(state balancer.SubConnState) { b.handleSubConnState(server.backend, subConn, state) }})
	if err != nil {
		return fmt.Errorf("grpcbalancer: connection to %s: %w", server.address.Addr, err)
	}
	b.dispatcher.withLock(func() { server.backend.connection.subConn = subConn })
	subConn.Connect()
	return nil
}

// handleSubConnState records whether the server is connected.
func (b *subConnBalancer) handleSubConnState(server *backend, sub balancer.SubConn, state balancer.SubConnState) {
	server.dispatcher.withLock(func() {
		if server.connection.subConn == sub && server.connection.ready != (state.ConnectivityState == connectivity.Ready) {
			server.connection.ready = !server.connection.ready
			close(server.connection.changed)
			server.connection.changed = make(chan struct{})
		}
	})
	if state.ConnectivityState == connectivity.Idle {
		sub.Connect() // each server stays connected: an attempt should not pay for it
	}
}

// ResolverError implements balancer.Balancer: the old list stays.
func (b *subConnBalancer) ResolverError(error) {}

// UpdateSubConnState implements balancer.Balancer; the library does not call it where there is a StateListener.
func (b *subConnBalancer) UpdateSubConnState(balancer.SubConn, balancer.SubConnState) {}

// ExitIdle implements balancer.Balancer: every server is connected already.
func (b *subConnBalancer) ExitIdle() {}

// Close implements balancer.Balancer.
func (b *subConnBalancer) Close() {
	if b.dispatcher == nil {
		return
	}
	b.dispatcher.withLock(func() {
		for _, server := range b.dispatcher.backends {
			server.connection.subConn = nil
			server.connection.ready = false
		}
		b.dispatcher.core.UpdateMembers(loadbalancer.ListFull, nil)
	})
}
