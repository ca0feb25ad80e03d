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

const waitTimeout = 60 * time.Second // for a state to be reached

// testCluster is a system on loopback. Each machine has an address of its own, and all have the same ports.
type testCluster struct {
	t         *testing.T
	network   [4]byte
	machines  byte
	firstPort uint16
	seeds     []netip.AddrPort
	platform  *fakePlatform
}

func newTestCluster(t *testing.T) *testCluster {
	t.Helper()
	cluster := &testCluster{t: t, network: [4]byte{127, byte(1 + rand.IntN(254)), byte(rand.IntN(256)), 0}}
	listener, err := net.Listen("tcp4", netip.AddrPortFrom(cluster.address(), 0).String())
	if err != nil {
		t.Fatal(err)
	}
	cluster.firstPort = listener.Addr().(*net.TCPAddr).AddrPort().Port() - processconfig.AgentRPCPort
	listener.Close()
	cluster.platform = newFakePlatform(t)
	return cluster
}

// address returns the loopback address of a machine that has none so far; each call takes another one.
func (c *testCluster) address() netip.Addr {
	c.machines++
	address := c.network
	address[3] = c.machines
	return netip.AddrFrom4(address)
}

func (c *testCluster) settings(node string) *processconfig.Settings {
	return &processconfig.Settings{
		Node:      node,
		IP:        c.address(),
		Zone:      "a1",
		Zones:     map[string]string{"a1": "a"},
		FreePorts: processconfig.PortRange{First: c.firstPort, Last: c.firstPort + 15},
		SeedNodes: c.seeds,
		Timing:    processconfig.Timing{GracePeriod: 8 * time.Second},
		CloudAPI:  processconfig.CloudAPI{Address: c.platform.address, CallsPerSecond: 1000},
	}
}

func (c *testCluster) wait(what string, holds func() bool) {
	c.t.Helper()
	for end := time.Now().Add(waitTimeout); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			c.t.Fatalf("did not come about: %s", what)
		}
	}
}

// controlReplica is a control machine: a seed, a member, and a server of the feed.
type controlReplica struct {
	cluster  *testCluster
	settings *processconfig.Settings
	member   *gossip.Memberlist
	notifier *feedserver.Notifier
	stop     context.CancelFunc
	done     chan struct{}

	mutex     sync.Mutex
	tables    []*feed.Table
	ages      [1 + feed.RunnerPartitionCount]time.Duration
	startedAt time.Time
}

// newReplicas starts control machines that hold the same tables.
func (c *testCluster) newReplicas(n int) []*controlReplica {
	c.t.Helper()
	var replicas []*controlReplica
	for i := range n {
		r := &controlReplica{cluster: c, settings: c.settings(fmt.Sprint("core-", i+1)), startedAt: time.Now()}
		for partition := range feed.Partition(1 + feed.RunnerPartitionCount) {
			r.tables = append(r.tables, feed.NewTable(partition))
		}
		c.seeds = append(c.seeds, netip.AddrPortFrom(r.settings.IP, 1))
		replicas = append(replicas, r)
	}
	for _, r := range replicas {
		r.settings.SeedNodes = c.seeds
		r.join()
		r.serve()
	}
	return replicas
}

func (r *controlReplica) now() time.Duration { return time.Since(r.startedAt) }

func (r *controlReplica) join() {
	r.cluster.t.Helper()
	options := gossip.FromSettings(r.settings, gossip.Control)
	options.ProbeInterval = 30 * time.Millisecond
	member, err := gossip.Start(options)
	if err != nil {
		r.cluster.t.Fatal(err)
	}
	r.member = member
	r.cluster.t.Cleanup(member.Close)
}

// serve starts to serve followers.
func (r *controlReplica) serve() {
	r.cluster.t.Helper()
	address := netip.AddrPortFrom(r.settings.IP, r.settings.Port(processconfig.ControlRPCPort))
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		r.cluster.t.Fatal(err)
	}
	r.notifier = feedserver.NewNotifier(r.now, func(d time.Duration, f func()) { time.AfterFunc(d, f) })
	var sources []feedserver.Source
	for i := range r.tables {
		sources = append(sources, &controlSource{r, i})
	}
	registry := rpc.NewRegistry()
	feedserver.FollowMethod.Handle(registry, feedserver.New(feedserver.Options{
		Sources:    sources,
		Notifier:   r.notifier,
		Now:        r.now,
		Age:        r.age,
		ProxyCount: func() int { return 0 },
	}).Follow)
	ctx, stop := context.WithCancel(context.Background())
	r.stop = stop
	r.done = make(chan struct{})
	go func() {
		defer close(r.done)
		rpc.Serve(ctx, listener, registry, rpc.ServerLimits{})
	}()
	r.cluster.t.Cleanup(r.close)
}

// close stops the replica's server. The machine stays a member.
func (r *controlReplica) close() {
	r.stop()
	<-r.done
}

func (r *controlReplica) age(partition feed.Partition) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.ages[partition]
}

// setAge sets how long ago the replica was up to date with all partitions.
func (r *controlReplica) setAge(age time.Duration) {
	for partition := range feed.Partition(1 + feed.RunnerPartitionCount) {
		r.setPartitionAge(partition, age)
	}
}

func (r *controlReplica) setPartitionAge(partition feed.Partition, age time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.ages[partition] = age
}

type controlSource struct {
	replica   *controlReplica
	partition int
}

func (s *controlSource) Index() uint64 {
	s.replica.mutex.Lock()
	defer s.replica.mutex.Unlock()
	return s.replica.tables[s.partition].LastChangeIndex()
}

func (s *controlSource) Since(index uint64, maxBytes int) feed.Batch {
	s.replica.mutex.Lock()
	defer s.replica.mutex.Unlock()
	return s.replica.tables[s.partition].BatchSince(s.replica.now(), index, maxBytes)
}

func (r *controlReplica) put(partition feed.Partition, index uint64, key string, value []byte) {
	r.mutex.Lock()
	r.tables[partition].Put(r.now(), index, key, value)
	r.mutex.Unlock()
	r.notifier.Notify()
}

// configure has all replicas hold a version of the configuration.
func configure(replicas []*controlReplica, index uint64, version string) {
	for _, r := range replicas {
		r.put(feed.ConfigurationPartition, index, feed.KeyVersion, []byte(version))
	}
}

func putRunner(replicas []*controlReplica, index uint64, runner discovery.Runner) {
	partition := feed.PartitionOf(runner.Service, feed.RunnerPartitionCount)
	for _, r := range replicas {
		r.put(partition, index, feed.KeyPrefixRunner+runner.ID, discovery.EncodeRunner(runner))
	}
}

func runner(id string) discovery.Runner {
	return discovery.Runner{
		ID:       id,
		Service:  "service",
		Address:  netip.MustParseAddrPort("10.0.0.1:80"),
		Zone:     "a1",
		Capacity: 4,
	}
}

// edgeMachine is an edge machine: its agent, and the proxy's side of the calls.
type edgeMachine struct {
	cluster  *testCluster
	settings *processconfig.Settings
	loopback netip.Addr
	agent    *Agent
	stop     context.CancelFunc
	done     chan error

	client *rpc.Client
	tables []*feed.Table
}

func (c *testCluster) newEdge(node string) *edgeMachine {
	c.t.Helper()
	edge := &edgeMachine{cluster: c, settings: c.settings(node), loopback: c.address()}
	for partition := range feed.Partition(1 + feed.RunnerPartitionCount) {
		edge.tables = append(edge.tables, feed.NewTable(partition))
	}
	edge.startAgent()
	edge.startProxy()
	return edge
}

func (e *edgeMachine) startAgent() {
	e.cluster.t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	options := Options{Settings: e.settings, Version: "v1", Log: zap.NewNop(), loopback: e.loopback}
	options.upstream = upstream.Options{PollWait: 50 * time.Millisecond, CutOffAfter: 300 * time.Millisecond}
	started, err := New(ctx, options)
	if err != nil {
		e.cluster.t.Fatal(err)
	}
	e.agent = started
	e.stop = stop
	e.done = make(chan error, 1)
	go func() { e.done <- started.Run(ctx) }()
	e.cluster.t.Cleanup(e.kill)
}

// kill stops the agent without a leave.
func (e *edgeMachine) kill() {
	e.agent.fail(errKilled)
	select {
	case err := <-e.done:
		e.done <- err
	case <-time.After(waitTimeout):
		e.cluster.t.Error("the agent does not end")
	}
}

// startProxy opens the connection over which the test makes the proxy's calls; there is no proxy process.
func (e *edgeMachine) startProxy() {
	address := netip.AddrPortFrom(e.loopback, e.settings.Port(processconfig.AgentFeedPort))
	e.client = rpc.NewClient(address, rpc.ClientOptions{})
	e.cluster.t.Cleanup(e.client.Close)
}

// report makes the proxy's report.
func (e *edgeMachine) report(report feed.ProxyReport) *feed.ProxyReportReply {
	e.cluster.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	reply, err := reportMethod.Invoke(ctx, e.client, &report)
	if err != nil {
		e.cluster.t.Fatal(err)
	}
	return reply
}

// poll makes one call of the feed, as the proxy does, and applies what has changed.
func (e *edgeMachine) poll(wait time.Duration) *feed.FollowReply {
	e.cluster.t.Helper()
	request := &feed.FollowRequest{Node: e.settings.Node, Wait: wait}
	for _, table := range e.tables {
		request.Positions = append(request.Positions, table.Position())
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	reply, err := feedserver.FollowMethod.LongPoll(ctx, e.client, wait, request)
	if err != nil {
		e.cluster.t.Fatal(err)
	}
	for _, batch := range reply.Batches {
		e.tables[batch.Partition].Apply(0, batch)
	}
	return reply
}

// waitFor polls the feed until a state is reached.
func (e *edgeMachine) waitFor(what string, holds func() bool) {
	e.cluster.t.Helper()
	for end := time.Now().Add(waitTimeout); !holds(); e.poll(time.Second) {
		if time.Now().After(end) {
			e.cluster.t.Fatalf("did not come about: %s", what)
		}
	}
}

func (e *edgeMachine) version() string {
	value, _ := e.tables[feed.ConfigurationPartition].Get(feed.KeyVersion)
	return string(value)
}

// knows reports whether the proxy has a runner.
func (e *edgeMachine) knows(id string) bool {
	_, known := e.runner(id)
	return known
}

// runner returns a runner as the proxy has it, and whether it does.
func (e *edgeMachine) runner(id string) (discovery.Runner, bool) {
	for _, table := range e.tables {
		if value, known := table.Get(feed.KeyPrefixRunner + id); known {
			decoded, err := discovery.DecodeRunner(value)
			return decoded, err == nil
		}
	}
	return discovery.Runner{}, false
}

// fakePlatform serves the platform's list.
type fakePlatform struct {
	address netip.AddrPort
	mutex   sync.Mutex
	runners []discovery.Runner
	calls   int
}

func newFakePlatform(t *testing.T) *fakePlatform {
	t.Helper()
	p := &fakePlatform{}
	server := httptest.NewServer(p)
	t.Cleanup(server.Close)
	p.address = server.Listener.Addr().(*net.TCPAddr).AddrPort()
	return p
}

func (p *fakePlatform) set(runners ...discovery.Runner) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.runners = runners
}

func (p *fakePlatform) callCount() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.calls
}

// ServeHTTP serves GET /servers.
func (p *fakePlatform) ServeHTTP(writer http.ResponseWriter, _ *http.Request) {
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
	writer.Header().Set("Content-Length", fmt.Sprint(len(body)))
	fmt.Fprint(writer, body)
}
