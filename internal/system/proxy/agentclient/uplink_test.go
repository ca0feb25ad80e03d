package agentclient

import (
	"context"
	"encoding/binary"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"cinderroad/internal/system/discovery"
	"cinderroad/internal/system/feed"
	"cinderroad/internal/system/rpc"
)

const patience = 30 * time.Second

// agent is a stand-in that answers each call with the next reply it was given, and holds the others open.
type agent struct {
	t       *testing.T
	replies chan *feed.FollowReply
	asked   chan *feed.FollowRequest
	reports chan *feed.ProxyReport
	learnt  []byte
}

func newAgent(t *testing.T) *agent {
	return &agent{t: t, replies: make(chan *feed.FollowReply, 10), asked: make(chan *feed.FollowRequest, 10),
		reports: make(chan *feed.ProxyReport, 100)}
}

// serve answers at the address until the returned function is called.
func (a *agent) serve(address string) (at netip.AddrPort, stop func()) {
	a.t.Helper()
	var listener net.Listener
	var err error
	for end := time.Now().Add(patience); time.Now().Before(end); { // an earlier life may still hold the address
		if listener, err = net.Listen("tcp", address); err == nil {
			break
		}
	}
	if err != nil {
		a.t.Fatal(err)
	}
	registry := rpc.NewRegistry()
	followCall.Handle(registry, func(ctx context.Context, request *feed.FollowRequest) (*feed.FollowReply, error) {
		a.asked <- request
		select {
		case reply := <-a.replies:
			return reply, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	})
	reportCall.Handle(registry, func(_ context.Context, report *feed.ProxyReport) (*feed.ProxyReportReply, error) {
		a.reports <- report
		return &feed.ProxyReportReply{Learnt: a.learnt}, nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { _ = rpc.Serve(ctx, listener, registry, rpc.ServerLimits{}) })
	stop = sync.OnceFunc(func() { cancel(); done.Wait() })
	a.t.Cleanup(stop)
	return netip.MustParseAddrPort(listener.Addr().String()), stop
}

func receive[T any](t *testing.T, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(patience):
		t.Fatal("nothing came")
	}
	panic("unreachable")
}

func start(t *testing.T, address netip.AddrPort) (*Link, chan Update, chan []byte) {
	updates, recalled := make(chan Update, 10), make(chan []byte, 1)
	link := New(zap.NewNop(), Options{Agent: address, Node: "n", RunnerPartitions: 2,
		Deliver: func(u Update) { updates <- u }, Recall: func(b []byte) { recalled <- b }})
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { link.Run(ctx) })
	t.Cleanup(func() { cancel(); done.Wait() })
	return link, updates, recalled
}

func stored(ordinal uint64, json string) []byte {
	return append(binary.BigEndian.AppendUint64(nil, ordinal), json...)
}

func routeItem(name, service string, index uint64) feed.Item {
	return feed.Item{Key: feed.KeyPrefixRoute + name, Index: index, Value: stored(1, `{"name":"`+name+
		`","host":"h","path_start":"/`+name+`/","type":"read_only","timeout_ms":5000,"target_ms":800,"rank":1,"service":"`+service+`","tries":2}`)}
}

func serviceItem(name string, index uint64) feed.Item {
	return feed.Item{Key: feed.KeyPrefixService + name, Index: index, Value: stored(1,
		`{"name":"`+name+`","health_path":"/health","max_conns":10}`)}
}

func version(n string, index uint64) feed.Item {
	return feed.Item{Key: feed.KeyVersion, Index: index, Value: []byte(n)}
}

// inSecond is the name of a service whose runners stand in the second partition of runners.
var inSecond = func() string {
	name := "s"
	for feed.PartitionOf(name, 2) != 2 {
		name += "x"
	}
	return name
}()

// The whole way: a snapshot, a delta, an agent that goes away and comes back with an older state.
func TestFollow(t *testing.T) {
	a := newAgent(t)
	address, stop := a.serve("127.0.0.1:0")
	_, updates, _ := start(t, address)
	if q := receive(t, a.asked); len(q.Positions) != 3 || q.Positions[0].Index != 0 || q.Node != "n" {
		t.Errorf("first asked with %+v", q)
	}
	runner := discovery.Runner{ID: "i", Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:80"), Zone: "z",
		Capacity: 4, SlowStartRemaining: 5 * time.Second}
	a.replies <- &feed.FollowReply{Proxies: 3, Peers: []feed.Peer{{Node: "p", Zone: "z"}}, PeersDigest: 5, Batches: []feed.Batch{
		{Partition: 0, Snapshot: true, To: 10, Items: []feed.Item{version("7", 9), routeItem("a", "s", 5), routeItem("b",
			"s", 9), serviceItem(inSecond, 4),
			{Key: feed.KeyPrefixEvacuation + "z9", Index: 3}, {Key: feed.KeyPrefixRoute + "bad", Index: 6, Value: stored(1, `{"name":1}`)}}},
		{Partition: 1, Snapshot: true, To: 4, Items: []feed.Item{{Key: feed.KeyPrefixRunner + "i", Index: 4,
			Value: discovery.EncodeRunner(runner), Age: time.Second}}},
	}}
	u := receive(t, updates)
	if u.Version != 7 || len(u.Routes) != 2 || len(*u.Services) != 1 || !(*u.Evacuated)["z9"] || u.Complete ||
		u.Proxies != 3 || u.Peers == nil || len(*u.Peers) != 1 || (*u.Peers)[0].Node != "p" {
		t.Errorf("snapshot came as %+v", u)
	}
	if r := (*u.Runners)[0]; r.ID != "i" || !r.GoneAt.IsZero() || time.Until(r.ColdUntil) > 4*time.Second ||
		time.Until(r.ColdUntil) < -patience {
		t.Errorf("runner came as %+v", r)
	}
	if q := receive(t, a.asked); q.Positions[0].Index != 10 || q.Positions[1].Index != 4 || q.Peers != 5 {
		t.Errorf("then asked with %+v", q)
	}
	a.replies <- &feed.FollowReply{Batches: []feed.Batch{
		{Partition: 0, From: 10, To: 12, Items: []feed.Item{version("8", 12), {Key: feed.KeyPrefixRoute + "a", Index: 11,
			Deleted: true}}},
		{Partition: 2, Snapshot: true, To: 1},
	}}
	u = receive(t, updates)
	if u.Version != 8 || len(u.Routes) != 0 || len(u.Removed) != 1 || u.Removed[0] != "a" || u.Services != nil ||
		u.Runners != nil || !u.Complete {
		t.Errorf("delta came as %+v", u)
	}
	receive(t, a.asked)
	stop()
	a.replies <- &feed.FollowReply{Batches: []feed.Batch{
		{Partition: 0, Snapshot: true, To: 11, Items: []feed.Item{version("7", 9), routeItem("a", "s", 5)}}}}
	a.serve(address.String())
	if q := receive(t, a.asked); q.Positions[0].Index != 12 {
		t.Errorf("asked the agent's next life with %+v", q)
	}
	if u = receive(t, updates); u.Version != 8 || len(u.Routes) != 0 {
		t.Errorf("an older state came as %+v", u)
	}
}

// What the proxy's earlier life had learnt is asked for before anything else is told; later changes are told at once.
func TestReports(t *testing.T) {
	a := newAgent(t)
	a.learnt = []byte("ceilings")
	address, _ := a.serve("127.0.0.1:0")
	link, _, recalled := start(t, address)
	if r := receive(t, a.reports); r.Ready || len(r.Learnt) > 0 {
		t.Errorf("first report is %+v", r)
	}
	if got := receive(t, recalled); string(got) != "ceilings" {
		t.Errorf("recalled %q", got)
	}
	link.Report(feed.ProxyReport{Ready: true, Front: "10.0.0.1:80", Learnt: []byte("more")})
	for r := receive(t, a.reports); ; r = receive(t, a.reports) {
		if r.Ready && r.Front == "10.0.0.1:80" && string(r.Learnt) == "more" {
			break
		}
	}
	link.Report(feed.ProxyReport{Ready: true, Front: "10.0.0.1:80"})
	if r := receive(t, a.reports); !r.Ready || len(r.Learnt) > 0 {
		t.Errorf("the next report is %+v", r)
	}
}
