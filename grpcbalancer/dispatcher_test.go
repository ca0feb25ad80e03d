package grpcbalancer

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/balancer"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/resolver"
	"google.golang.org/grpc/resolver/manual"
	"google.golang.org/grpc/status"

	"cinderroad/loadbalancer"
)

const method = "/grpc.health.v1.Health/Check"

// server is a scripted grpc-go server.
type server struct {
	grpc_health_v1.UnimplementedHealthServer
	addr string
	rig  *rig
	stop func()
}

// rig is a ClientConn with a Dispatcher, and its servers.
type rig struct {
	t          *testing.T
	dispatcher *Dispatcher
	client     grpc_health_v1.HealthClient
	list       *manual.Resolver
	servers    []*server
	mu         sync.Mutex
	calls      []string // addresses, in the order of the calls
	script     func(n int, s *server, ctx context.Context) error
}

func (s *server) Check(ctx context.Context, request *grpc_health_v1.HealthCheckRequest) (*grpc_health_v1.HealthCheckResponse, error) {
	s.rig.mu.Lock()
	n := len(s.rig.calls)
	s.rig.calls = append(s.rig.calls, s.addr)
	script := s.rig.script
	s.rig.mu.Unlock()
	if script != nil {
		if err := script(n, s, ctx); err != nil {
			return nil, err
		}
	}
	return &grpc_health_v1.HealthCheckResponse{Status: grpc_health_v1.HealthCheckResponse_SERVING}, nil
}

func newRig(t *testing.T, safety loadbalancer.RetrySafety, servers int) *rig {
	t.Helper()
	r := &rig{t: t, list: manual.NewBuilderWithScheme("test")}
	var err error
	r.dispatcher, err = New(Options{
		Settings: loadbalancer.Settings{
			Classes: []loadbalancer.Class{{
				Name:        "check",
				Objective:   0.1,
				Deadline:    5,
				DedupWindow: 5,
				Value:       1,
				RetrySafety: safety,
				DedupScope:  loadbalancer.DedupCell,
				Kind:        -1,
			}},
			Zones:                 1,
			Instances:             1,
			MaxAttempts:           4,
			Tick:                  0.004,
			SlowStartDuration:     9,
			SlowStartInitialShare: 0.34,
			OverloadMultiple:      3,
			OverloadWindow:        2,
			AnswerSlack:           0.016,
			MayCancel:             true,
			MayRetryAfter:         true,
			MaxRetryAfter:         2,
			ParallelAttempts:      true,
		},
		Class:   func(m string) (int, bool) { return 0, m == method },
		Metrics: &MetricOptions{Zones: []string{"here"}, MaxServers: 10},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.dispatcher.Close)
	for range servers {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		scripted := &server{addr: listener.Addr().String(), rig: r}
		grpcServer := grpc.NewServer()
		grpc_health_v1.RegisterHealthServer(grpcServer, scripted)
		go grpcServer.Serve(listener)
		scripted.stop = grpcServer.Stop
		t.Cleanup(grpcServer.Stop)
		r.servers = append(r.servers, scripted)
	}
	r.list.InitialState(r.state(ServerInfo{}, ServerInfo{}, ServerInfo{}))
	conn, err := grpc.NewClient("test:///", append(r.dispatcher.DialOptions(), grpc.WithResolvers(r.list),
		grpc.WithTransportCredentials(insecure.NewCredentials()))...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	r.client = grpc_health_v1.NewHealthClient(conn)
	return r
}

// state is a resolver state of the first servers with their infos.
func (r *rig) state(infos ...ServerInfo) (state resolver.State) {
	for i, server := range r.servers[:min(len(infos), len(r.servers))] {
		infos[i].Cell = i
		state.Addresses = append(state.Addresses, WithServerInfo(resolver.Address{Addr: server.addr}, infos[i]))
	}
	return state
}

func (r *rig) check(wait time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	reply, err := r.client.Check(ctx, &grpc_health_v1.HealthCheckRequest{})
	if err == nil && reply.Status != grpc_health_v1.HealthCheckResponse_SERVING {
		r.t.Errorf("reply %v", reply)
	}
	return err
}

// How each outcome is retried by class, what the caller gets, and that the library retries nothing by itself.
func TestOutcomesAndRetries(t *testing.T) {
	broken := func(code codes.Code) func(int, *server, context.Context) error {
		return func(n int, _ *server, _ context.Context) error {
			if n == 0 {
				return status.Error(code, "first")
			}
			return nil
		}
	}
	rejected := func(n int, _ *server, ctx context.Context) error {
		if n == 0 {
			grpc.SetTrailer(ctx, metadata.Pairs(RejectedTrailer, "1"))
			return status.Error(codes.Unavailable, "full")
		}
		return nil
	}
	for _, tc := range []struct {
		name   string
		effect loadbalancer.RetrySafety
		script func(int, *server, context.Context) error
		want   codes.Code
		calls  int
	}{
		{"served", loadbalancer.RetryUnsafe, nil, codes.OK, 1},
		{"unavailable, safe", loadbalancer.RetrySafe, broken(codes.Unavailable), codes.OK, 2},
		{"unavailable, keyed", loadbalancer.RetryDeduplicated, broken(codes.Unavailable), codes.OK, 2},
		{"unavailable, unsafe", loadbalancer.RetryUnsafe, broken(codes.Unavailable), codes.Unavailable, 1},
		{"internal, unsafe", loadbalancer.RetryUnsafe, broken(codes.Internal), codes.Internal, 1},
		{"rejected, unsafe", loadbalancer.RetryUnsafe, rejected, codes.OK, 2},
		{"the service's own status", loadbalancer.RetrySafe, broken(codes.NotFound), codes.NotFound, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, tc.effect, 3)
			r.script = tc.script
			err := r.check(5 * time.Second)
			if status.Code(err) != tc.want || len(r.calls) != tc.calls {
				t.Errorf("%v after calls %v, want %v after %d", err, r.calls, tc.want, tc.calls)
			}
			if tc.effect == loadbalancer.RetryDeduplicated && r.calls[0] != r.calls[1] {
				t.Errorf("a deduplicated retry left its cell: %v", r.calls)
			}
			if n := r.dispatcher.Counts(); n.Requests != 1 || n.Served+n.Rejected+n.Failed != 1 || int(n.Attempts) != tc.calls {
				t.Errorf("counts %+v", n)
			}
		})
	}
}

// Guards against calls to a server that drains or has left the list, and against a refusal without a wait.
func TestDrainAndRejection(t *testing.T) {
	r := newRig(t, loadbalancer.RetrySafe, 2)
	if err := r.check(5 * time.Second); err != nil {
		t.Fatal(err)
	}
	r.list.UpdateState(r.state(ServerInfo{Draining: true}, ServerInfo{}))
	r.mu.Lock()
	r.calls = nil
	r.mu.Unlock()
	for range 4 {
		if err := r.check(5 * time.Second); err != nil {
			t.Fatal(err)
		}
	}
	notDraining := r.servers[1].addr
	want := fmt.Sprint(notDraining, notDraining, notDraining, notDraining)
	if diff := cmp.Diff(want, fmt.Sprint(r.calls[0], r.calls[1], r.calls[2], r.calls[3])); diff != "" {
		t.Errorf("calls while one drains (-want +got):\n%s", diff)
	}
	r.list.UpdateState(r.state(ServerInfo{Draining: true}, ServerInfo{Draining: true}))
	err := r.check(300 * time.Millisecond)
	var wait time.Duration
	for _, detail := range status.Convert(err).Details() {
		if info, ok := detail.(*errdetails.RetryInfo); ok {
			wait = info.RetryDelay.AsDuration()
		}
	}
	if status.Code(err) != codes.Unavailable || wait <= 0 || wait > 2*time.Second {
		t.Errorf("all drain: %v, come back after %v", err, wait)
	}
}

// Guards against a server that is down: the call never ran there, so even an unsafe one goes elsewhere.
func TestUnreachableServer(t *testing.T) {
	r := newRig(t, loadbalancer.RetryUnsafe, 2)
	r.servers[0].stop()
	for range 4 {
		if err := r.check(5 * time.Second); err != nil {
			t.Fatal(err)
		}
	}
	for _, addr := range r.calls {
		if addr != r.servers[1].addr {
			t.Errorf("call at %s", addr)
		}
	}
}

// Guards against methods nobody has classed being sent, and against silence outliving the caller's deadline.
func TestUnknownMethodAndTimeout(t *testing.T) {
	r := newRig(t, loadbalancer.RetryUnsafe, 1)
	r.script = func(_ int, _ *server, ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	}
	if err := r.check(300 * time.Millisecond); status.Code(err) != codes.DeadlineExceeded {
		t.Errorf("silence: %v", err)
	}
	if _, err := r.client.List(context.Background(), &grpc_health_v1.HealthListRequest{}); status.Code(err) != codes.FailedPrecondition {
		t.Errorf("unknown method: %v", err)
	}
}

// Guards against the library retrying a call by itself: its second pick for one attempt is refused, and the attempt then
// counts as one that never ran.
func TestLibraryDoesNotRetry(t *testing.T) {
	d := &Dispatcher{}
	f := &callAttempt{backend: &backend{dispatcher: d, connection: connection{subConn: struct{ balancer.SubConn }{}, ready: true}}}
	ask := balancer.PickInfo{Ctx: context.WithValue(context.Background(), attemptKey{}, f)}
	if _, err := (picker{d}).Pick(ask); err != nil || f.notSent {
		t.Fatalf("first pick: %v", err)
	}
	_, err := picker{d}.Pick(ask)
	if got := resultOf(err, nil, f.notSent); err == nil || got != loadbalancer.ConnectFailed {
		t.Errorf("second pick: %v, which counts as %v", err, got)
	}
}

// Guards against a server that is used although it was taken out, whatever the resolver says, or stays out for good.
func TestExclusion(t *testing.T) {
	r := newRig(t, loadbalancer.RetrySafe, 2)
	if err := r.check(20 * time.Second); err != nil {
		t.Fatal(err)
	}
	out := r.servers[0].addr
	if r.dispatcher.Exclude("127.0.0.1:1") || !r.dispatcher.Exclude(out) || !r.dispatcher.Exclude(out) {
		t.Error("exclude: yes for nobody, or no for a server")
	}
	count := func() (n int) {
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, addr := range r.calls {
			if addr == out {
				n++
			}
		}
		return n
	}
	before := count()
	r.list.UpdateState(r.state(ServerInfo{}, ServerInfo{})) // a list that knows nothing of it
	for range 5 {
		if err := r.check(20 * time.Second); err != nil {
			t.Error(err)
		}
	}
	if n := count() - before; n != 0 {
		t.Errorf("%d calls at the server that is out", n)
	}
	if !r.dispatcher.Include(out) {
		t.Error("include: no")
	}
	for end := time.Now().Add(30 * time.Second); count() == before; {
		if err := r.check(20 * time.Second); err != nil {
			t.Error(err)
		}
		if time.Now().After(end) {
			t.Fatal("it is never used again")
		}
	}
}

// Close returns after the attempts in flight, whether the server ends them or Close does, and each call has its status.
func TestCloseWaitsForAttempts(t *testing.T) {
	for name, answers := range map[string]bool{"the server answers": true, "the server hangs": false} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, loadbalancer.RetryUnsafe, 1)
			arrived := make(chan struct{})
			release := make(chan struct{})
			r.script = func(_ int, _ *server, ctx context.Context) error {
				close(arrived)
				select {
				case <-release:
				case <-ctx.Done():
				}
				return nil
			}
			called := make(chan error, 1)
			go func() {
				_, err := r.client.Check(context.Background(), &grpc_health_v1.HealthCheckRequest{})
				called <- err
			}()
			<-arrived
			if answers {
				close(release)
			}
			r.dispatcher.Close()
			r.dispatcher.mu.Lock()
			for address, backend := range r.dispatcher.backends {
				if n := len(backend.attempts); n > 0 {
					t.Errorf("%d attempts at %s are in flight after Close", n, address)
				}
			}
			r.dispatcher.mu.Unlock()
			if err := <-called; answers && err != nil || !answers && err == nil {
				t.Errorf("the call in flight: %v", err)
			}
			_, err := r.client.Check(context.Background(), &grpc_health_v1.HealthCheckRequest{})
			if status.Code(err) != codes.Unavailable {
				t.Errorf("a call after Close: %v", err)
			}
		})
	}
}
