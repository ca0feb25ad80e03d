package grpcbalancer

import (
	"context"
	"math"
	"reflect"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"cinderroad/internal/dispatcher/dispatch"
)

// unaryCall is a call between intercept and its answer. It is the payload of the core's job.
type unaryCall struct {
	ctx     context.Context
	method  string
	request any
	reply   reflect.Type // of the message, not of its pointer
	conn    *grpc.ClientConn
	invoke  grpc.UnaryInvoker
	options []grpc.CallOption
	answer  chan dispatch.Answer // buffered: the core must not block on it

	// Written by attempts under the dispatcher's lock, also after the answer.
	servedReply any   // of the attempt that won
	servedErr   error // its status, as the server gave it
	lastErr     error // of the last attempt that failed
}

// Answer implements dispatch.Requester; the lock is held.
func (c *unaryCall) Answer(answer dispatch.Answer) { c.answer <- answer }

// intercept owns a unary call from its start to its one answer.
func (d *Dispatcher) intercept(
	ctx context.Context,
	method string,
	request, reply any,
	conn *grpc.ClientConn,
	invoke grpc.UnaryInvoker,
	options ...grpc.CallOption,
) error {
	class, known := d.options.Class(method)
	if !known || class < 0 || class >= len(d.options.Settings.Classes) {
		return status.Errorf(codes.FailedPrecondition, "grpcbalancer: no class for %s", method)
	}
	conn.Connect() // the list comes from the resolver, which an idle ClientConn does not ask
	call := &unaryCall{
		ctx:     ctx,
		method:  method,
		request: request,
		reply:   reflect.TypeOf(reply).Elem(),
		conn:    conn,
		invoke:  invoke,
		options: options,
		answer:  make(chan dispatch.Answer, 1),
	}
	job := dispatch.Job{
		Class:    class,
		Slots:    1,
		Deadline: d.Now() + d.options.Settings.Classes[class].Deadline,
		Payload:  call,
		ID:       method,
		Front:    "grpc",
	}
	if at, ok := ctx.Deadline(); ok {
		job.Deadline = math.Min(job.Deadline, d.Now()+time.Until(at).Seconds())
	}
	var id dispatch.RequestID
	d.withLock(func() { id = d.core.Submit(job, call) })
	select {
	case answer := <-call.answer:
		return d.deliver(call, answer, reply)
	case <-ctx.Done():
	case <-d.ended:
	}
	d.withLock(func() { d.core.HandleDisconnect(id) })
	select {
	case answer := <-call.answer: // the core answered before the disconnect was handled
		return d.deliver(call, answer, reply)
	default:
	}
	if ctx.Err() != nil {
		return status.FromContextError(ctx.Err()).Err()
	}
	return status.Error(codes.Unavailable, "grpcbalancer: the dispatcher was closed before the call had an answer")
}

// deliver turns the core's answer into the call's: it fills the reply or returns the status.
func (d *Dispatcher) deliver(call *unaryCall, answer dispatch.Answer, reply any) error {
	d.mu.Lock() // attempts that are still in flight may write here
	served := call.servedReply
	servedErr := call.servedErr
	lastErr := call.lastErr
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
		delay := durationpb.New(time.Duration(answer.RetryAfter * float64(time.Second)))
		if with, err := rejected.WithDetails(&errdetails.RetryInfo{RetryDelay: delay}); err == nil {
			rejected = with
		}
		return rejected.Err()
	}
	if lastErr != nil {
		return lastErr
	}
	return status.Error(codes.DeadlineExceeded, "failed: no answer in time")
}
