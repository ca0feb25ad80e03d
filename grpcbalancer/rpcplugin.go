// Package rpcplugin lets grpc-go clients spread their unary calls by the same decisions, and under the same
// rules, as the daemon. An interceptor owns the req: its class, its deadline, its one final answer. Where each
// fetch goes is asked of package brain through the same core that the daemon uses, and the registered balancer's
// picker carries that out. The library repeats nothing by itself.
package grpcbalancer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"reflect"
	"sync"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"cinderroad/internal/dispatcher/dispatch"
	"cinderroad/internal/dispatcher/telemetry"
	"cinderroad/loadbalancer"
)

// Trailers that a server may set.
const (
	// RejectedTrailer, set to 1, says that the server turned the call away unseen.
	RejectedTrailer = "x-rejected"
	// LoadTrailer holds a load report, a JSON object by the names in Options.Fields.
	LoadTrailer = "x-load-report"
)

// Options configure a Dispatcher.
type Options struct {
	Settings loadbalancer.Settings
	Seed     uint64
	// Class tells a method's place in Settings.Classes. A method that it does not know is never sent.
	Class func(method string) (class int, known bool)
	// Fields names the values of load reports, in the order of Settings.Report.
	Fields []string
	// ConnectTimeout is how long a fetch waits for its server's connection; 0 is 250 ms.
	ConnectTimeout time.Duration
	// Metrics has figures kept, for Dispatcher.Figures to tell; nil is none.
	Metrics *MetricOptions
}

// Dispatcher serves one ClientConn.
type Dispatcher struct {
	options   Options
	name      string
	startedAt time.Time
	startTime float64

	mu      sync.Mutex // the core belongs to whoever holds it
	core    *dispatch.Dispatcher
	workers map[string]*backend // by address
	timers  map[*timer]bool
	closed  bool
	metrics *telemetry.Set // nil: none
}

// New makes a Dispatcher; pass what DialOptions returns to grpc.NewClient.
func New(options Options) (*Dispatcher, error) {
	if options.Class == nil {
		return nil, errors.New("rpcplugin: no Class function")
	}
	if options.ConnectTimeout == 0 {
		options.ConnectTimeout = 250 * time.Millisecond
	}
	now := time.Now()
	d := &Dispatcher{options: options, startedAt: now, startTime: float64(now.UnixMicro()) / 1e6, workers: map[string]*backend{}, timers: map[*timer]bool{}}
	var err error
	if d.core, err = dispatch.New(options.Settings, options.Seed, d); err != nil {
		return nil, fmt.Errorf("rpcplugin: %w", err)
	}
	if options.Metrics != nil {
		d.enableMetrics(options.Metrics)
	}
	d.name = registerDispatcher(d)
	d.withLock(d.core.Start)
	return d, nil
}

// DialOptions returns what a ClientConn needs: the interceptor, the balancer, and no retries of the library's own.
func (d *Dispatcher) DialOptions() []grpc.DialOption {
	return []grpc.DialOption{grpc.WithUnaryInterceptor(d.intercept), grpc.WithDisableRetry(), grpc.WithDisableServiceConfig(),
		grpc.WithDefaultServiceConfig(fmt.Sprintf(`{"loadBalancingConfig":[{%q:{"dispatcher":%q}}]}`, balancerName, d.name))}
}

// Close ends the timers; calls that are out end by their own deadlines.
func (d *Dispatcher) Close() {
	unregisterDispatcher(d.name)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	for t := range d.timers {
		t.timer.Stop()
	}
}

// Counts returns the core's figures so far.
func (d *Dispatcher) Counts() (n dispatch.Counts) {
	d.withLock(func() { n = d.core.Counts() })
	return n
}

// Exclude takes a server out by its address, whatever the resolver says, until Include; false if nobody has it.
func (d *Dispatcher) Exclude(address string) (known bool) { return d.exclude(d.core.Exclude, address) }

// Include calls a server back: it is cold, since it was restarted meanwhile.
func (d *Dispatcher) Include(address string) (known bool) { return d.exclude(d.core.Include, address) }

func (d *Dispatcher) exclude(operation func(string) dispatch.ExclusionChange, address string) (known bool) {
	d.withLock(func() {
		change := operation(address)
		if known = change.Known && !change.LimitReached; known {
			d.core.ApplyExclusions(change.Exclusions)
		}
	})
	return known
}

func (d *Dispatcher) withLock(do func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	do()
}

// Now implements routing.Clock.
func (d *Dispatcher) Now() float64 { return d.startTime + time.Since(d.startedAt).Seconds() }

type timer struct {
	dispatcher *Dispatcher
	timer      *time.Timer
	stopped    bool
}

// Stop implements routing.Stop; the lock is held.
func (t *timer) Stop() {
	t.stopped = true
	t.timer.Stop()
	delete(t.dispatcher.timers, t)
}

// At implements routing.Clock; the lock is held.
func (d *Dispatcher) At(at float64, do func()) dispatch.Timer {
	t := &timer{dispatcher: d}
	if d.closed {
		t.timer = time.NewTimer(time.Hour)
		t.timer.Stop()
		return t
	}
	d.timers[t] = true
	t.timer = time.AfterFunc(time.Duration((at-d.Now())*float64(time.Second)), func() {
		d.withLock(func() {
			if !t.stopped && !d.closed {
				delete(d.timers, t)
				t.stopped = true
				do()
			}
		})
	})
	return t
}

// unaryCall is a req as the interceptor holds it.
type unaryCall struct {
	ctx         context.Context
	method      string
	request     any
	reply       reflect.Type
	conn        *grpc.ClientConn
	invoke      grpc.UnaryInvoker
	options     []grpc.CallOption
	answer      chan dispatch.Answer
	servedReply any   // the reply of the fetch that won, and
	servedErr   error // the status that its server gave it
	lastErr     error // of the last fetch that failed
}

// Answer implements routing.Asker; the lock is held.
func (c *unaryCall) Answer(a dispatch.Answer) { c.answer <- a }

// intercept owns a unary call from its start to its one answer.
func (d *Dispatcher) intercept(ctx context.Context, method string, request, reply any, conn *grpc.ClientConn, invoke grpc.UnaryInvoker, options ...grpc.CallOption) error {
	class, known := d.options.Class(method)
	if !known || class < 0 || class >= len(d.options.Settings.Classes) {
		return status.Errorf(codes.FailedPrecondition, "rpcplugin: no class for %s", method)
	}
	conn.Connect() // the list comes from the resolver, which an idle ClientConn does not ask
	call := &unaryCall{ctx: ctx, method: method, request: request, reply: reflect.TypeOf(reply).Elem(), conn: conn, invoke: invoke,
		options: options, answer: make(chan dispatch.Answer, 1)}
	job := dispatch.Job{Class: class, Slots: 1, Deadline: d.Now() + d.options.Settings.Classes[class].Deadline, Payload: call, ID: method,
		Front: "grpc"}
	if at, ok := ctx.Deadline(); ok {
		job.Deadline = math.Min(job.Deadline, d.Now()+time.Until(at).Seconds())
	}
	var id dispatch.RequestID
	d.withLock(func() { id = d.core.Submit(job, call) })
	var answer dispatch.Answer
	select {
	case answer = <-call.answer:
	case <-ctx.Done():
		d.withLock(func() { d.core.HandleDisconnect(id) })
		select {
		case answer = <-call.answer: // it had come by then
		default:
			return status.FromContextError(ctx.Err()).Err()
		}
	}
	d.mu.Lock() // copies that are still out may write here
	served, servedErr, failed := call.servedReply, call.servedErr, call.lastErr
	d.mu.Unlock()
	switch answer.Verdict {
	case dispatch.Served:
		if servedErr != nil {
			return servedErr
		}
		if to, ok := reply.(proto.Message); ok {
			proto.Reset(to)
			proto.Merge(to, served.(proto.Message))
		} else {
			reflect.ValueOf(reply).Elem().Set(reflect.ValueOf(served).Elem())
		}
		return nil
	case dispatch.Rejected:
		rejected := status.New(codes.Unavailable, "refused: a retry is harmless")
		if with, err := rejected.WithDetails(&errdetails.RetryInfo{RetryDelay: durationpb.New(time.Duration(answer.RetryAfter * float64(time.Second)))}); err == nil {
			rejected = with
		}
		return rejected.Err()
	}
	if failed != nil {
		return failed
	}
	return status.Error(codes.DeadlineExceeded, "failed: no answer in time")
}

// backend is a server: a backend of the core.
type backend struct {
	dispatcher *Dispatcher
	address    string
	member     loadbalancer.Worker
	connection connection
	attempts   map[dispatch.AttemptID]*callAttempt
}

// callAttempt is one attempt. What the picker needs of it travels in its context.
type callAttempt struct {
	id      dispatch.AttemptID
	backend *backend
	cancel  context.CancelFunc
	started bool // handed to the library
	picks   int  // guarded by the dispatcher's lock, like the rest
	notSent bool // the library asked where to send it and was told not to, or to stop
}

type attemptKey struct{}

// Start implements routing.Backend; the lock is held.
func (b *backend) Start(assigned dispatch.Attempt) {
	call := assigned.Payload.(*unaryCall)
	ctx, cancel := context.WithTimeout(call.ctx, time.Duration((assigned.Deadline-b.dispatcher.Now())*float64(time.Second)))
	attempt := &callAttempt{id: assigned.ID, backend: b, cancel: cancel}
	b.attempts[assigned.ID] = attempt
	go b.runAttempt(context.WithValue(ctx, attemptKey{}, attempt), attempt, call)
}

// Cancel implements routing.Backend; the lock is held.
func (b *backend) Cancel(id dispatch.AttemptID) bool {
	attempt := b.attempts[id]
	if attempt == nil {
		return true
	}
	delete(b.attempts, id)
	attempt.cancel()
	return attempt.started && !attempt.notSent
}

// ResetConnections implements routing.Backend: grpc finds out by itself which connections still stand.
func (b *backend) ResetConnections() {}

// Probe implements routing.Backend: the state of the connection is all that costs the server nothing.
func (b *backend) Probe(done func(loadbalancer.Result, []float32)) {
	result := loadbalancer.OK
	if b.connection.subConn == nil || !b.connection.ready {
		result = loadbalancer.ConnectFailed
	}
	done(result, nil)
}

// runAttempt waits for the connection, looks again whether the server still wants work, and makes the call.
func (b *backend) runAttempt(ctx context.Context, attempt *callAttempt, call *unaryCall) {
	defer attempt.cancel()
	up := b.dispatcher.waitConnected(ctx, b)
	b.dispatcher.mu.Lock()
	result, clear := b.dispatcher.core.ConfirmSend(attempt.id)
	if clear && !up {
		result, clear = loadbalancer.ConnectFailed, false
	}
	if attempt.started = clear; !clear {
		delete(b.attempts, attempt.id)
		b.dispatcher.core.HandleOutcome(attempt.id, dispatch.Outcome{Result: result})
		b.dispatcher.mu.Unlock()
		return
	}
	b.dispatcher.mu.Unlock()

	reply := reflect.New(call.reply).Interface() // copies of a req must not write into one reply
	var trailer metadata.MD
	err := call.invoke(ctx, call.method, call.request, reply, call.conn, append(call.options[:len(call.options):len(call.options)], grpc.Trailer(&trailer))...)

	b.dispatcher.mu.Lock()
	defer b.dispatcher.mu.Unlock()
	if b.attempts[attempt.id] == nil {
		return // given up: its status is of our own making and must not reach the caller
	}
	delete(b.attempts, attempt.id)
	outcome := dispatch.Outcome{Result: resultOf(err, trailer, attempt.notSent), Report: b.dispatcher.parseReport(trailer)}
	if outcome.Result == loadbalancer.OK && call.servedReply == nil {
		call.servedReply, call.servedErr = reply, err
	} else if outcome.Result != loadbalancer.OK {
		call.lastErr = err
	}
	b.dispatcher.core.HandleOutcome(attempt.id, outcome)
}

// resultOf maps a status. Whatever the service itself said to the caller is an answer, not a failure.
func resultOf(err error, trailer metadata.MD, unsent bool) loadbalancer.Result {
	if unsent {
		return loadbalancer.ConnectFailed
	}
	if values := trailer.Get(RejectedTrailer); err != nil && len(values) == 1 && values[0] == "1" {
		return loadbalancer.Rejected
	}
	switch status.Code(err) {
	case codes.Unavailable:
		return loadbalancer.Reset // the connection broke, or so the server says: it may have run
	case codes.DeadlineExceeded:
		return loadbalancer.Timeout
	case codes.Canceled:
		return loadbalancer.Cancelled
	case codes.Unknown, codes.Internal, codes.DataLoss, codes.ResourceExhausted:
		return loadbalancer.Error
	}
	return loadbalancer.OK
}

// parseReport reads a load report into the settings' order.
func (d *Dispatcher) parseReport(trailer metadata.MD) []float32 {
	var named map[string]float64
	if trailerValues := trailer.Get(LoadTrailer); len(trailerValues) != 1 || json.Unmarshal([]byte(trailerValues[0]), &named) != nil {
		return nil
	}
	values := make([]float32, len(d.options.Fields))
	for i, name := range d.options.Fields {
		if trailerValues, ok := named[name]; ok {
			values[i] = float32(trailerValues)
		} else {
			values[i] = -1
		}
	}
	return values
}
