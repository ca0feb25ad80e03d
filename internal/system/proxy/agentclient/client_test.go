package agentclient

import (
	"context"
	"encoding/binary"
	"net"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"cinderroad/internal/system/discovery"
	"cinderroad/internal/system/feed"
	"cinderroad/internal/system/rpc"
)

const testTimeout = 30 * time.Second

// fakeAgent answers each call with the next of its replies, and keeps the others open.
type fakeAgent struct {
	t        *testing.T
	replies  chan *feed.FollowReply
	requests chan *feed.FollowRequest
	reports  chan *feed.ProxyReport
	snapshot []byte
}

func newFakeAgent(t *testing.T) *fakeAgent {
	return &fakeAgent{
		t:        t,
		replies:  make(chan *feed.FollowReply, 10),
		requests: make(chan *feed.FollowRequest, 10),
		reports:  make(chan *feed.ProxyReport, 100),
	}
}

// serve serves at the address until the returned function is called.
func (a *fakeAgent) serve(address string) (bound netip.AddrPort, stop func()) {
	a.t.Helper()
	var listener net.Listener
	var err error
	for end := time.Now().Add(testTimeout); time.Now().Before(end); { // the previous instance may still hold the address
		if listener, err = net.Listen("tcp", address); err == nil {
			break
		}
	}
	if err != nil {
		a.t.Fatal(err)
	}
	registry := rpc.NewRegistry()
	followMethod.Handle(registry, func(ctx context.Context, request *feed.FollowRequest) (*feed.FollowReply, error) {
		a.requests <- request
		select {
		case reply := <-a.replies:
			return reply, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	})
	reportMethod.Handle(registry, func(_ context.Context, report *feed.ProxyReport) (*feed.ProxyReportReply, error) {
		a.reports <- report
		return &feed.ProxyReportReply{Learnt: a.snapshot}, nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { _ = rpc.Serve(ctx, listener, registry, rpc.ServerLimits{}) })
	stop = sync.OnceFunc(func() { cancel(); done.Wait() })
	a.t.Cleanup(stop)
	return netip.MustParseAddrPort(listener.Addr().String()), stop
}

func receive[T any](t *testing.T, channel <-chan T) T {
	t.Helper()
	select {
	case v := <-channel:
		return v
	case <-time.After(testTimeout):
		t.Fatal("timeout")
	}
	panic("unreachable")
}

func startClient(t *testing.T, address netip.AddrPort) (*Client, chan Update, chan []byte) {
	updates, recalled := make(chan Update, 10), make(chan []byte, 1)
	link := New(zap.NewNop(), Options{
		AgentAddr:        address,
		Node:             "n",
		RunnerPartitions: 2,
		OnUpdate:         func(update Update) { updates <- update },
		OnSnapshot:       func(b []byte) { recalled <- b },
	})
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { link.Run(ctx) })
	t.Cleanup(func() { cancel(); done.Wait() })
	return link, updates, recalled
}

func storedValue(ordinal uint64, json string) []byte {
	return append(binary.BigEndian.AppendUint64(nil, ordinal), json...)
}

func routeItem(name, service string, index uint64) feed.Item {
	route := `{"name":"` + name + `","host":"h","path_start":"/` + name + `/","type":"read_only",` +
		`"timeout_ms":5000,"target_ms":800,"rank":1,"service":"` + service + `","tries":2}`
	return feed.Item{Key: feed.KeyPrefixRoute + name, Index: index, Value: storedValue(1, route)}
}

func serviceItem(name string, index uint64) feed.Item {
	return feed.Item{
		Key:   feed.KeyPrefixService + name,
		Index: index,
		Value: storedValue(1, `{"name":"`+name+`","health_path":"/health","max_conns":10}`),
	}
}

func versionItem(n string, index uint64) feed.Item {
	return feed.Item{Key: feed.KeyVersion, Index: index, Value: []byte(n)}
}

// serviceInSecondPartition is the name of a service whose runners are in the second runner partition.
var serviceInSecondPartition = func() string {
	name := "s"
	for feed.PartitionOf(name, 2) != 2 {
		name += "x"
	}
	return name
}()

// A snapshot, a delta, and an agent that restarts with an older state.
func TestFollowAppliesFeed(t *testing.T) {
	agent := newFakeAgent(t)
	address, stop := agent.serve("127.0.0.1:0")
	_, updates, _ := startClient(t, address)
	request := receive(t, agent.requests)
	if len(request.Positions) != 3 || request.Positions[0].Index != 0 || request.Node != "n" {
		t.Errorf("first request is %+v", request)
	}
	agent.replies <- firstReply()
	checkFirstUpdate(t, receive(t, updates))
	request = receive(t, agent.requests)
	if request.Positions[0].Index != 10 || request.Positions[1].Index != 4 || request.Peers != 5 {
		t.Errorf("next request is %+v", request)
	}
	agent.replies <- laterReply()
	update := receive(t, updates)
	removesRoute := len(update.Routes) == 0 && slices.Equal(update.RemovedRoutes, []string{"a"})
	if update.Version != 8 || !removesRoute || update.Services != nil || update.Runners != nil || !update.Complete {
		t.Errorf("delta arrived as %+v", update)
	}
	receive(t, agent.requests)
	stop()
	agent.replies <- &feed.FollowReply{Batches: []feed.Batch{{
		Partition: 0,
		Snapshot:  true,
		To:        11,
		Items:     []feed.Item{versionItem("7", 9), routeItem("a", "s", 5)},
	}}}
	agent.serve(address.String())
	if request := receive(t, agent.requests); request.Positions[0].Index != 12 {
		t.Errorf("request to the restarted agent is %+v", request)
	}
	if update = receive(t, updates); update.Version != 8 || len(update.Routes) != 0 {
		t.Errorf("an older state arrived as %+v", update)
	}
}

// firstReply returns snapshots of the configuration and of the first runner partition; the second one lacks yet.
func firstReply() *feed.FollowReply {
	runner := discovery.Runner{
		ID:                 "i",
		Service:            "s",
		Address:            netip.MustParseAddrPort("10.0.0.1:80"),
		Zone:               "z",
		Capacity:           4,
		SlowStartRemaining: 5 * time.Second,
	}
	return &feed.FollowReply{
		Proxies:     3,
		Peers:       []feed.Peer{{Node: "p", Zone: "z"}},
		PeersDigest: 5,
		Batches: []feed.Batch{
			{
				Partition: 0,
				Snapshot:  true,
				To:        10,
				Items: []feed.Item{
					versionItem("7", 9),
					routeItem("a", "s", 5),
					routeItem("b", "s", 9),
					serviceItem(serviceInSecondPartition, 4),
					{Key: feed.KeyPrefixEvacuation + "z9", Index: 3},
					{Key: feed.KeyPrefixRoute + "bad", Index: 6, Value: storedValue(1, `{"name":1}`)},
				},
			},
			{
				Partition: 1,
				Snapshot:  true,
				To:        4,
				Items: []feed.Item{
					{
						Key:   feed.KeyPrefixRunner + "i",
						Index: 4,
						Value: discovery.EncodeRunner(runner),
						Age:   time.Second,
					},
				},
			},
		},
	}
}

// checkFirstUpdate checks what a proxy is to apply of firstReply.
func checkFirstUpdate(t *testing.T, update Update) {
	t.Helper()
	hasRoutes := update.Version == 7 && len(update.Routes) == 2
	hasServices := len(*update.Services) == 1 && (*update.EvacuatedZones)["z9"]
	hasPeers := update.ProxyCount == 3 && update.Peers != nil && len(*update.Peers) == 1 && (*update.Peers)[0].Node == "p"
	if !hasRoutes || !hasServices || !hasPeers || update.Complete {
		t.Errorf("snapshot arrived as %+v", update)
	}
	arrived := (*update.Runners)[0]
	slowStart := time.Until(arrived.SlowStartUntil)
	if arrived.ID != "i" || !arrived.TerminatesAt.IsZero() || slowStart > 4*time.Second || slowStart < -testTimeout {
		t.Errorf("runner arrived as %+v", arrived)
	}
}

// laterReply returns the changes of the configuration after firstReply, and the partition that it lacks.
func laterReply() *feed.FollowReply {
	return &feed.FollowReply{Batches: []feed.Batch{
		{
			Partition: 0,
			From:      10,
			To:        12,
			Items: []feed.Item{
				versionItem("8", 12),
				{Key: feed.KeyPrefixRoute + "a", Index: 11, Deleted: true},
			},
		},
		{Partition: 2, Snapshot: true, To: 1},
	}}
}

// The previous incarnation's snapshot is fetched before the first report; later changes are reported at once.
func TestReportsAndSnapshot(t *testing.T) {
	agent := newFakeAgent(t)
	agent.snapshot = []byte("ceilings")
	address, _ := agent.serve("127.0.0.1:0")
	link, _, recalled := startClient(t, address)
	if report := receive(t, agent.reports); report.Ready || len(report.Learnt) > 0 {
		t.Errorf("first report is %+v", report)
	}
	if got := receive(t, recalled); string(got) != "ceilings" {
		t.Errorf("restored %q", got)
	}
	link.Report(feed.ProxyReport{Ready: true, Front: "10.0.0.1:80", Learnt: []byte("more")})
	for report := receive(t, agent.reports); ; report = receive(t, agent.reports) {
		if report.Ready && report.Front == "10.0.0.1:80" && string(report.Learnt) == "more" {
			break
		}
	}
	link.Report(feed.ProxyReport{Ready: true, Front: "10.0.0.1:80"})
	if report := receive(t, agent.reports); !report.Ready || len(report.Learnt) > 0 {
		t.Errorf("the next report is %+v", report)
	}
}
