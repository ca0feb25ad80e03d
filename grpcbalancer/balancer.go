package grpcbalancer

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"google.golang.org/grpc/attributes"
	"google.golang.org/grpc/balancer"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/resolver"
	"google.golang.org/grpc/serviceconfig"
	"google.golang.org/grpc/status"

	"cinderroad/internal/dispatcher/dispatch"
	"cinderroad/loadbalancer"
)

const balancerName = "cinderroad"

// Server is what a resolver tells of an address beside the address.
type Server struct {
	Zone, Kind, Cell int
	Draining         bool      // wants nothing new
	Started          time.Time // of its process; the zero time is long ago
}

type serverKey struct{}

// WithServer attaches what is known of a server to its address.
func WithServer(a resolver.Address, s Server) resolver.Address {
	a.BalancerAttributes = attributes.New(serverKey{}, s)
	return a
}

// Equal lets grpc compare attributes.
func (s Server) Equal(o any) bool { other, ok := o.(Server); return ok && s == other }

var (
	registryMu sync.Mutex
	registry   = map[string]*Dispatcher{}
	serial     int
)

func register(d *Dispatcher) string {
	registryMu.Lock()
	defer registryMu.Unlock()
	serial++
	name := fmt.Sprint(serial)
	registry[name] = d
	return name
}

func unregister(name string) {
	registryMu.Lock()
	defer registryMu.Unlock()
	delete(registry, name)
}

func init() { balancer.Register(builder{}) }

type builder struct{}

type lbConfig struct {
	serviceconfig.LoadBalancingConfig
	Dispatcher string `json:"dispatcher"`
}

func (builder) Name() string { return balancerName }
func (builder) Build(cc balancer.ClientConn, _ balancer.BuildOptions) balancer.Balancer {
	return &lb{cc: cc}
}

// ParseConfig implements balancer.ConfigParser.
func (builder) ParseConfig(text json.RawMessage) (serviceconfig.LoadBalancingConfig, error) {
	var c lbConfig
	if err := json.Unmarshal(text, &c); err != nil {
		return nil, fmt.Errorf("rpcplugin: balancer config: %w", err)
	}
	return &c, nil
}

// lb keeps a connection to every server of the list. The library calls it from one goroutine at a time.
type lb struct {
	cc balancer.ClientConn
	d  *Dispatcher
}

// link is a worker's connection, guarded by the dispatcher's lock.
type link struct {
	sub     balancer.SubConn
	ready   bool
	changed chan struct{} // closed when ready changes
}

// UpdateClientConnState takes the resolver's list and hands it to the core.
func (b *lb) UpdateClientConnState(s balancer.ClientConnState) error {
	c, ok := s.BalancerConfig.(*lbConfig)
	if !ok {
		return fmt.Errorf("rpcplugin: the balancer needs the options of a Dispatcher")
	}
	registryMu.Lock()
	b.d = registry[c.Dispatcher]
	registryMu.Unlock()
	if b.d == nil {
		return fmt.Errorf("rpcplugin: no such Dispatcher, or closed")
	}
	d := b.d
	type fresh struct {
		w    *worker
		addr resolver.Address
	}
	var missing []fresh
	var gone []balancer.SubConn
	d.locked(func() {
		listed := map[string]bool{}
		var members []dispatch.Member
		for _, a := range s.ResolverState.Addresses {
			if listed[a.Addr] {
				continue
			}
			listed[a.Addr] = true
			w := d.workers[a.Addr]
			if w == nil {
				w = &worker{d: d, addr: a.Addr, fetches: map[dispatch.AttemptID]*fetch{}, link: link{changed: make(chan struct{})}}
				d.workers[a.Addr] = w
			}
			if w.link.sub == nil {
				missing = append(missing, fresh{w, a})
			}
			at, _ := a.BalancerAttributes.Value(serverKey{}).(Server)
			w.member = loadbalancer.Worker{ID: d.core.WorkerID(a.Addr), Zone: at.Zone, Kind: at.Kind, Cell: at.Cell, State: loadbalancer.Ready, Weight: 1}
			if at.Draining {
				w.member.State = loadbalancer.Draining
			}
			if !at.Started.IsZero() {
				w.member.StartedAt = float64(at.Started.UnixMicro()) / 1e6
			}
			members = append(members, dispatch.Member{Worker: w.member, Backend: w, Name: a.Addr})
		}
		for addr, w := range d.workers {
			if !listed[addr] && w.link.sub != nil {
				gone = append(gone, w.link.sub)
				w.link.sub, w.link.ready = nil, false
				delete(d.workers, addr)
			}
		}
		d.core.UpdateMembers(loadbalancer.ListFull, members)
	})
	for _, m := range missing {
		var sub balancer.SubConn
		sub, err := b.cc.NewSubConn([]resolver.Address{m.addr}, balancer.NewSubConnOptions{
			StateListener: func(s balancer.SubConnState) { b.state(m.w, sub, s) }})
		if err != nil {
			return fmt.Errorf("rpcplugin: connection to %s: %w", m.addr.Addr, err)
		}
		d.locked(func() { m.w.link.sub = sub })
		sub.Connect()
	}
	for _, sub := range gone { // calls that are out finish: the library closes the connection after them
		sub.Shutdown()
	}
	b.cc.UpdateState(balancer.State{ConnectivityState: connectivity.Ready, Picker: picker{d}})
	return nil
}

func (b *lb) state(w *worker, sub balancer.SubConn, s balancer.SubConnState) {
	w.d.locked(func() {
		if w.link.sub == sub && w.link.ready != (s.ConnectivityState == connectivity.Ready) {
			w.link.ready = !w.link.ready
			close(w.link.changed)
			w.link.changed = make(chan struct{})
		}
	})
	if s.ConnectivityState == connectivity.Idle {
		sub.Connect() // each server stays connected: a fetch should not pay for it
	}
}

// ResolverError keeps the old list.
func (b *lb) ResolverError(error) {}

// UpdateSubConnState is not used by the library any more where there is a StateListener.
func (b *lb) UpdateSubConnState(balancer.SubConn, balancer.SubConnState) {}

// ExitIdle implements balancer.Balancer: every server is connected already.
func (b *lb) ExitIdle() {}

// Close implements balancer.Balancer.
func (b *lb) Close() {
	if b.d == nil {
		return
	}
	b.d.locked(func() {
		for _, w := range b.d.workers {
			w.link.sub, w.link.ready = nil, false
		}
		b.d.core.UpdateMembers(loadbalancer.ListFull, nil)
	})
}

// await waits for the worker's connection, no longer than a connect may take.
func (d *Dispatcher) await(ctx context.Context, w *worker) bool {
	limit := time.NewTimer(d.options.ConnectTimeout)
	defer limit.Stop()
	for {
		d.mu.Lock()
		ready, changed := w.link.ready, w.link.changed
		d.mu.Unlock()
		if ready {
			return true
		}
		select {
		case <-changed:
		case <-limit.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// picker sends a fetch where the decisions said, once. The library asks again when it wants to repeat a call
// behind our back, which it does only with one that no server has seen: that is told to the core instead.
type picker struct{ d *Dispatcher }

// Pick implements balancer.Picker.
func (p picker) Pick(info balancer.PickInfo) (balancer.PickResult, error) {
	t, _ := info.Ctx.Value(fetchKey{}).(*fetch)
	if t == nil {
		return balancer.PickResult{}, status.Error(codes.Unimplemented, "rpcplugin: unary calls only")
	}
	p.d.mu.Lock()
	defer p.d.mu.Unlock()
	if t.picks++; t.picks > 1 || t.w.link.sub == nil || !t.w.link.ready {
		t.unsent = true
		return balancer.PickResult{}, status.Error(codes.Unavailable, "rpcplugin: not sent")
	}
	return balancer.PickResult{SubConn: t.w.link.sub}, nil
}
