package agent

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"cinderroad/internal/system/agent/upstream"
	"cinderroad/internal/system/control/feedserver"
	"cinderroad/internal/system/discovery"
	"cinderroad/internal/system/feed"
	"cinderroad/internal/system/gossip"
	"cinderroad/internal/system/processconfig"
	"cinderroad/internal/system/rpc"
)

const longest = 60 * time.Second // that a state is waited for

// world is a system on loopback, in which each machine has an address of its own and all have the same ports.
type world struct {
	t        *testing.T
	network  [4]byte
	machines byte
	first    uint16
	seeds    []netip.AddrPort
	platform *platformStub
}

func newWorld(t *testing.T) *world {
	w := &world{t: t, network: [4]byte{127, byte(1 + rand.IntN(254)), byte(rand.IntN(256)), 0}}
	listener, err := net.Listen("tcp4", netip.AddrPortFrom(w.address(), 0).String())
	if err != nil {
		t.Fatal(err)
	}
	w.first = listener.Addr().(*net.TCPAddr).AddrPort().Port() - processconfig.AgentRPCPort
	listener.Close()
	w.platform = newPlatformStub(t)
	return w
}

// address is that of another machine.
func (w *world) address() netip.Addr {
	w.machines++
	address := w.network
	address[3] = w.machines
	return netip.AddrFrom4(address)
}

func (w *world) settings(node string) *processconfig.Settings {
	return &processconfig.Settings{
		Node:      node,
		IP:        w.address(),
		Zone:      "a1",
		Zones:     map[string]string{"a1": "a"},
		FreePorts: processconfig.PortRange{First: w.first, Last: w.first + 15},
		SeedNodes: w.seeds,
		Timing:    processconfig.Timing{GracePeriod: 8 * time.Second},
		CloudAPI:  processconfig.CloudAPI{Address: w.platform.address, CallsPerSecond: 1000},
	}
}

func (w *world) wait(what string, holds func() bool) {
	w.t.Helper()
	for end := time.Now().Add(longest); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			w.t.Fatalf("did not come about: %s", what)
		}
	}
}

// replica is a control machine: a seed, a member, and a server of the feed.
type replica struct {
	w        *world
	settings *processconfig.Settings
	member   *gossip.Gossip
	notifier *feedserver.Notifier
	stop     context.CancelFunc
	done     chan struct{}

	mutex  sync.Mutex
	tables []*feed.Table
	ages   [1 + feed.RunnerPartitionCount]time.Duration
	began  time.Time
}

// newReplicas starts control machines that hold the same.
func (w *world) newReplicas(n int) []*replica {
	w.t.Helper()
	var replicas []*replica
	for i := range n {
		r := &replica{w: w, settings: w.settings(fmt.Sprint("core-", i+1)), began: time.Now()}
		for partition := range feed.Partition(1 + feed.RunnerPartitionCount) {
			r.tables = append(r.tables, feed.NewTable(partition))
		}
		w.seeds = append(w.seeds, netip.AddrPortFrom(r.settings.IP, 1))
		replicas = append(replicas, r)
	}
	for _, r := range replicas {
		r.settings.SeedNodes = w.seeds
		r.join()
		r.serve()
	}
	return replicas
}

func (r *replica) now() time.Duration { return time.Since(r.began) }

func (r *replica) join() {
	r.w.t.Helper()
	options := gossip.FromSettings(r.settings, gossip.Control)
	options.Period = 30 * time.Millisecond
	member, err := gossip.Start(options)
	if err != nil {
		r.w.t.Fatal(err)
	}
	r.member = member
	r.w.t.Cleanup(member.Close)
}

// serve begins to answer followers.
func (r *replica) serve() {
	r.w.t.Helper()
	address := netip.AddrPortFrom(r.settings.IP, r.settings.Port(processconfig.ControlRPCPort))
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		r.w.t.Fatal(err)
	}
	r.notifier = feedserver.NewNotifier(r.now, func(d time.Duration, f func()) { time.AfterFunc(d, f) })
	var sources []feedserver.Source
	for i := range r.tables {
		sources = append(sources, &replicaSource{r, i})
	}
	registry := rpc.NewRegistry()
	feedserver.FollowMethod.Handle(registry, feedserver.New(feedserver.Options{
		Sources: sources, Notifier: r.notifier, Now: r.now, Age: r.age, ProxyCount: func() int { return 0 },
	}).Follow)
	ctx, stop := context.WithCancel(context.Background())
	r.stop, r.done = stop, make(chan struct{})
	go func() {
		defer close(r.done)
		rpc.Serve(ctx, listener, registry, rpc.Limits{})
	}()
	r.w.t.Cleanup(r.close)
}

// close ends the replica's server; the machine stays a member.
func (r *replica) close() {
	r.stop()
	<-r.done
}

func (r *replica) age(partition feed.Partition) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.ages[partition]
}

// setAge has the replica be up to date with all partitions since so long.
func (r *replica) setAge(age time.Duration) {
	for partition := range feed.Partition(1 + feed.RunnerPartitionCount) {
		r.setPartitionAge(partition, age)
	}
}

func (r *replica) setPartitionAge(partition feed.Partition, age time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.ages[partition] = age
}

type replicaSource struct {
	replica   *replica
	partition int
}

func (s *replicaSource) Index() uint64 {
	s.replica.mutex.Lock()
	defer s.replica.mutex.Unlock()
	return s.replica.tables[s.partition].LastChangeIndex()
}

func (s *replicaSource) Since(index uint64, maxBytes int) feed.Batch {
	s.replica.mutex.Lock()
	defer s.replica.mutex.Unlock()
	return s.replica.tables[s.partition].BatchSince(s.replica.now(), index, maxBytes)
}

func (r *replica) put(partition feed.Partition, index uint64, key string, value []byte) {
	r.mutex.Lock()
	r.tables[partition].Put(r.now(), index, key, value)
	r.mutex.Unlock()
	r.notifier.Notify()
}

// configure has all replicas hold a version of the configuration.
func configure(replicas []*replica, index uint64, version string) {
	for _, r := range replicas {
		r.put(feed.ConfigurationPartition, index, feed.KeyVersion, []byte(version))
	}
}

func list(replicas []*replica, index uint64, runner discovery.Runner) {
	for _, r := range replicas {
		r.put(feed.PartitionOf(runner.Service, feed.RunnerPartitionCount), index, feed.KeyPrefixRunner+runner.ID, discovery.EncodeRunner(runner))
	}
}

func runner(id string) discovery.Runner {
	return discovery.Runner{ID: id, Service: "service", Address: netip.MustParseAddrPort("10.0.0.1:80"), Zone: "a1", Capacity: 4}
}

// edge is an edge machine: its agent and its proxy's side of the calls.
type edge struct {
	w        *world
	settings *processconfig.Settings
	loopback netip.Addr
	agent    *Agent
	stop     context.CancelFunc
	ended    chan error

	client *rpc.Client
	tables []*feed.Table
}

func (w *world) newEdge(node string) *edge {
	w.t.Helper()
	e := &edge{w: w, settings: w.settings(node), loopback: w.address()}
	for partition := range feed.Partition(1 + feed.RunnerPartitionCount) {
		e.tables = append(e.tables, feed.NewTable(partition))
	}
	e.startAgent()
	e.startProxy()
	return e
}

func (e *edge) startAgent() {
	e.w.t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	options := Options{Settings: e.settings, Version: "v1", Log: zap.NewNop(), loopback: e.loopback}
	options.source = upstream.Options{Wait: 50 * time.Millisecond, CutOffAfter: 300 * time.Millisecond}
	started, err := New(ctx, options)
	if err != nil {
		e.w.t.Fatal(err)
	}
	e.agent, e.stop, e.ended = started, stop, make(chan error, 1)
	go func() { e.ended <- started.Run(ctx) }()
	e.w.t.Cleanup(e.kill)
}

// kill ends the agent without a word.
func (e *edge) kill() {
	e.agent.fail(errKilled)
	select {
	case err := <-e.ended:
		e.ended <- err
	case <-time.After(longest):
		e.w.t.Error("the agent does not end")
	}
}

func (e *edge) startProxy() {
	address := netip.AddrPortFrom(e.loopback, e.settings.Port(processconfig.AgentFeedPort))
	e.client = rpc.NewClient(address, rpc.Options{})
	e.w.t.Cleanup(e.client.Close)
}

// report makes the proxy's report.
func (e *edge) report(report feed.ProxyReport) *feed.ProxyReportReply {
	e.w.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), longest)
	defer cancel()
	reply, err := ReportCall.Invoke(ctx, e.client, &report)
	if err != nil {
		e.w.t.Fatal(err)
	}
	return reply
}

// poll follows once.
func (e *edge) poll(wait time.Duration) *feed.FollowReply {
	e.w.t.Helper()
	request := &feed.FollowRequest{Node: e.settings.Node, Wait: wait}
	for _, table := range e.tables {
		request.Positions = append(request.Positions, table.Position())
	}
	ctx, cancel := context.WithTimeout(context.Background(), longest)
	defer cancel()
	reply, err := feedserver.FollowMethod.Poll(ctx, e.client, wait, request)
	if err != nil {
		e.w.t.Fatal(err)
	}
	for _, batch := range reply.Batches {
		e.tables[batch.Partition].Apply(0, batch)
	}
	return reply
}

// waitFor follows until a state has come.
func (e *edge) waitFor(what string, holds func() bool) {
	e.w.t.Helper()
	for end := time.Now().Add(longest); !holds(); e.poll(time.Second) {
		if time.Now().After(end) {
			e.w.t.Fatalf("did not come about: %s", what)
		}
	}
}

func (e *edge) version() string {
	value, _ := e.tables[feed.ConfigurationPartition].Get(feed.KeyVersion)
	return string(value)
}

func (e *edge) runner(id string) (discovery.Runner, bool) {
	for _, table := range e.tables {
		if value, known := table.Get(feed.KeyPrefixRunner + id); known {
			decoded, err := discovery.DecodeRunner(value)
			return decoded, err == nil
		}
	}
	return discovery.Runner{}, false
}

// platformStub answers the platform's list.
type platformStub struct {
	address netip.AddrPort
	mutex   sync.Mutex
	runners []discovery.Runner
	calls   int
}

func newPlatformStub(t *testing.T) *platformStub {
	p := &platformStub{}
	server := httptest.NewServer(p)
	t.Cleanup(server.Close)
	p.address = server.Listener.Addr().(*net.TCPAddr).AddrPort()
	return p
}

func (p *platformStub) set(runners ...discovery.Runner) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.runners = runners
}

func (p *platformStub) called() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.calls
}

// ServeHTTP answers GET /servers.
func (p *platformStub) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.calls++
	var entries []string
	for _, r := range p.runners {
		state := "serving"
		if r.Draining {
			state = "draining"
		}
		entries = append(entries, fmt.Sprintf(`{"id":%q,"service":%q,"address":%q,"zone":%q,"capacity":%d,"state":%q}`,
			r.ID, r.Service, r.Address, r.Zone, r.Capacity, state))
	}
	body := `{"instances":[` + strings.Join(entries, ",") + `],"next_token":null}`
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	fmt.Fprint(w, body)
}
