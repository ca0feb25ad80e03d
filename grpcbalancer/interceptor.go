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

// unaryCall is a call as the interceptor holds it. It is the payload of the core's job.
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

// Answer implements dispatch.Requester; the lock is held.
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
