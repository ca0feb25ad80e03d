package grpcbalancer

import (
	"context"
	"encoding/json"
	"reflect"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/balancer"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"cinderroad/internal/dispatcher/dispatch"
	"cinderroad/loadbalancer"
)

// backend is a server, as the core sees it. The dispatcher's lock guards it.
type backend struct {
	dispatcher *Dispatcher
	address    string
	worker     loadbalancer.Worker // its entry in the latest list
	connection connection
	attempts   map[dispatch.AttemptID]*callAttempt // in flight, neither ended nor cancelled
}

// connection is a server's connection, guarded by the dispatcher's lock.
type connection struct {
	subConn balancer.SubConn
	ready   bool
	changed chan struct{} // closed when ready changes
}

// callAttempt is one attempt, guarded by the dispatcher's lock. Its context carries it to the picker.
type callAttempt struct {
	id      dispatch.AttemptID
	backend *backend
	cancel  context.CancelFunc
	started bool // handed to the library
	picks   int  // how often the library asked where to send it
	notSent bool // the picker refused it
}

// attemptKey is the key of a callAttempt in its context.
type attemptKey struct{}

// Start implements dispatch.Backend; the lock is held.
func (b *backend) Start(assigned dispatch.Attempt) {
	if b.dispatcher.closed {
		b.dispatcher.core.HandleOutcome(assigned.ID, dispatch.Outcome{Result: loadbalancer.ConnectFailed})
		return
	}
	call := assigned.Payload.(*unaryCall)
	remaining := time.Duration((assigned.Deadline - b.dispatcher.Now()) * float64(time.Second))
	ctx, cancel := context.WithTimeout(call.ctx, remaining)
	attempt := &callAttempt{id: assigned.ID, backend: b, cancel: cancel}
	b.attempts[assigned.ID] = attempt
	b.dispatcher.attempts.Go(func() { b.runAttempt(context.WithValue(ctx, attemptKey{}, attempt), attempt, call) })
}

// Cancel implements dispatch.Backend; the lock is held. It reports whether the attempt may have reached the server.
func (b *backend) Cancel(id dispatch.AttemptID) bool {
	attempt := b.attempts[id]
	if attempt == nil {
		return true // it has ended, and the core has not handled its outcome yet: the safe answer
	}
	delete(b.attempts, id)
	attempt.cancel()
	return attempt.started && !attempt.notSent
}

// ResetConnections implements dispatch.Backend: grpc finds out by itself which connections are still open.
func (b *backend) ResetConnections() {}

// Probe implements dispatch.Backend: it reports the state of the connection, which costs the server nothing.
func (b *backend) Probe(done func(loadbalancer.Result, []float32)) {
	result := loadbalancer.OK
	if b.connection.subConn == nil || !b.connection.ready {
		result = loadbalancer.ConnectFailed
	}
	done(result, nil)
}

// runAttempt waits for the connection, confirms that the server is still to be used, and makes the call.
func (b *backend) runAttempt(ctx context.Context, attempt *callAttempt, call *unaryCall) {
	defer attempt.cancel()
	connected := b.dispatcher.waitConnected(ctx, b)
	b.dispatcher.mu.Lock()
	result, confirmed := b.dispatcher.core.ConfirmSend(attempt.id)
	if confirmed && !connected {
		result = loadbalancer.ConnectFailed
		confirmed = false
	}
	attempt.started = confirmed
	if !confirmed {
		delete(b.attempts, attempt.id)
		b.dispatcher.core.HandleOutcome(attempt.id, dispatch.Outcome{Result: result})
		b.dispatcher.mu.Unlock()
		return
	}
	b.dispatcher.mu.Unlock()

	reply := reflect.New(call.reply).Interface() // attempts of a call must not write into one reply
	var trailer metadata.MD
	options := append(call.options[:len(call.options):len(call.options)], grpc.Trailer(&trailer))
	err := call.invoke(ctx, call.method, call.request, reply, call.conn, options...)

	b.dispatcher.mu.Lock()
	defer b.dispatcher.mu.Unlock()
	if b.attempts[attempt.id] == nil {
		return // cancelled: its status is not the server's and must not reach the caller
	}
	delete(b.attempts, attempt.id)
	outcome := dispatch.Outcome{Result: resultOf(err, trailer, attempt.notSent), Report: b.dispatcher.parseReport(trailer)}
	if outcome.Result == loadbalancer.OK && call.servedReply == nil {
		call.servedReply = reply
		call.servedErr = err
	} else if outcome.Result != loadbalancer.OK {
		call.lastErr = err
	}
	b.dispatcher.core.HandleOutcome(attempt.id, outcome)
}

// waitConnected waits for the server's connection, no longer than ConnectTimeout.
func (d *Dispatcher) waitConnected(ctx context.Context, target *backend) bool {
	timeout := time.NewTimer(d.options.ConnectTimeout)
	defer timeout.Stop()
	for {
		d.mu.Lock()
		ready, changed := target.connection.ready, target.connection.changed
		d.mu.Unlock()
		if ready {
			return true
		}
		select {
		case <-changed:
		case <-timeout.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// resultOf maps the status of a call to the result of its attempt. A status by which the service itself answers the caller
// is an answer, not a failure.
func resultOf(err error, trailer metadata.MD, notSent bool) loadbalancer.Result {
	if notSent {
		return loadbalancer.ConnectFailed
	}
	if values := trailer.Get(RejectedTrailer); err != nil && len(values) == 1 && values[0] == "1" {
		return loadbalancer.Rejected
	}
	switch status.Code(err) {
	case codes.Unavailable:
		return loadbalancer.Reset // the connection broke, or the server claims so: the call may have run
	case codes.DeadlineExceeded:
		return loadbalancer.Timeout
	case codes.Canceled:
		return loadbalancer.Cancelled
	case codes.Unknown, codes.Internal, codes.DataLoss, codes.ResourceExhausted:
		return loadbalancer.Error
	}
	return loadbalancer.OK
}

// notReported stands in a load report for a field that the server left out.
const notReported = -1

// parseReport returns a load report in the order of Settings.ReportFields; nil if there is none. Fields that the
// server left out are notReported.
func (d *Dispatcher) parseReport(trailer metadata.MD) []float32 {
	var named map[string]float64
	if texts := trailer.Get(LoadTrailer); len(texts) != 1 || json.Unmarshal([]byte(texts[0]), &named) != nil {
		return nil
	}
	values := make([]float32, len(d.options.Fields))
	for i, name := range d.options.Fields {
		if value, ok := named[name]; ok {
			values[i] = float32(value)
		} else {
			values[i] = notReported
		}
	}
	return values
}
