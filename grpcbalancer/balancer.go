package grpcbalancer

import (
	"encoding/json"
	"fmt"
	"sync"

	"google.golang.org/grpc/balancer"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/resolver"
	"google.golang.org/grpc/serviceconfig"

	"cinderroad/internal/dispatcher/dispatch"
	"cinderroad/loadbalancer"
)

const balancerName = "cinderroad"

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

func unregisterDispatcher(name string) {
	registryMu.Lock()
	defer registryMu.Unlock()
	delete(registry, name)
}

func init() { balancer.Register(balancerBuilder{}) }

type balancerBuilder struct{}

type balancerConfig struct {
	serviceconfig.LoadBalancingConfig
	Dispatcher string `json:"dispatcher"`
}

func (balancerBuilder) Name() string { return balancerName }

func (balancerBuilder) Build(cc balancer.ClientConn, _ balancer.BuildOptions) balancer.Balancer {
	return &subConnBalancer{clientConn: cc}
}

// ParseConfig implements balancer.ConfigParser.
func (balancerBuilder) ParseConfig(text json.RawMessage) (serviceconfig.LoadBalancingConfig, error) {
	var c balancerConfig
	if err := json.Unmarshal(text, &c); err != nil {
		return nil, fmt.Errorf("rpcplugin: balancer config: %w", err)
	}
	return &c, nil
}

// subConnBalancer keeps a connection to every listed server. The library calls it from one goroutine at a time.
type subConnBalancer struct {
	clientConn balancer.ClientConn
	dispatcher *Dispatcher
}

// UpdateClientConnState takes the resolver's list and hands it to the core.
func (b *subConnBalancer) UpdateClientConnState(state balancer.ClientConnState) error {
	config, ok := state.BalancerConfig.(*balancerConfig)
	if !ok {
		return fmt.Errorf("rpcplugin: the balancer needs the options of a Dispatcher")
	}
	registryMu.Lock()
	b.dispatcher = registry[config.Dispatcher]
	registryMu.Unlock()
	if b.dispatcher == nil {
		return fmt.Errorf("rpcplugin: no such Dispatcher, or closed")
	}
	d := b.dispatcher
	type fresh struct {
		w    *backend
		addr resolver.Address
	}
	var missing []fresh
	var departed []balancer.SubConn
	d.withLock(func() {
		listed := map[string]bool{}
		var members []dispatch.Member
		for _, a := range state.ResolverState.Addresses {
			if listed[a.Addr] {
				continue
			}
			listed[a.Addr] = true
			w := d.backends[a.Addr]
			if w == nil {
				w = &backend{dispatcher: d, address: a.Addr, attempts: map[dispatch.AttemptID]*callAttempt{}, connection: connection{changed: make(chan struct{})}}
				d.backends[a.Addr] = w
			}
			if w.connection.subConn == nil {
				missing = append(missing, fresh{w, a})
			}
			at, _ := a.BalancerAttributes.Value(serverInfoKey{}).(ServerInfo)
			w.member = loadbalancer.Worker{ID: d.core.WorkerID(a.Addr), Zone: at.Zone, Kind: at.Kind, Cell: at.Cell, State: loadbalancer.Ready, Weight: 1}
			if at.Draining {
				w.member.State = loadbalancer.Draining
			}
			if !at.Started.IsZero() {
				w.member.StartedAt = float64(at.Started.UnixMicro()) / 1e6
			}
			members = append(members, dispatch.Member{Worker: w.member, Backend: w, Name: a.Addr})
		}
		for addr, w := range d.backends {
			if !listed[addr] && w.connection.subConn != nil {
				departed = append(departed, w.connection.subConn)
				w.connection.subConn, w.connection.ready = nil, false
				delete(d.backends, addr)
			}
		}
		d.core.UpdateMembers(loadbalancer.ListFull, members)
	})
	for _, m := range missing {
		var sub balancer.SubConn
		sub, err := b.clientConn.NewSubConn([]resolver.Address{m.addr}, balancer.NewSubConnOptions{
			StateListener: func(state balancer.SubConnState) { b.handleSubConnState(m.w, sub, state) }})
		if err != nil {
			return fmt.Errorf("rpcplugin: connection to %s: %w", m.addr.Addr, err)
		}
		d.withLock(func() { m.w.connection.subConn = sub })
		sub.Connect()
	}
	for _, sub := range departed { // calls that are out finish: the library closes the connection after them
		sub.Shutdown()
	}
	b.clientConn.UpdateState(balancer.State{ConnectivityState: connectivity.Ready, Picker: picker{d}})
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
		sub.Connect() // each server stays connected: a fetch should not pay for it
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
		for _, w := range b.dispatcher.backends {
			w.connection.subConn, w.connection.ready = nil, false
		}
		b.dispatcher.core.UpdateMembers(loadbalancer.ListFull, nil)
	})
}
