package grpcbalancer

import (
	"google.golang.org/grpc/balancer"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// picker sends an attempt to the server that the core chose, once. The library asks again when it wants to repeat a call by
// itself, which it does only if no server has seen the call: the attempt is then reported to the core
// as not sent.
type picker struct{ dispatcher *Dispatcher }

// Pick implements balancer.Picker.
func (p picker) Pick(info balancer.PickInfo) (balancer.PickResult, error) {
	attempt, _ := info.Ctx.Value(attemptKey{}).(*callAttempt)
	if attempt == nil {
		return balancer.PickResult{}, status.Error(codes.Unimplemented, "grpcbalancer: unary calls only")
	}
	p.dispatcher.mu.Lock()
	defer p.dispatcher.mu.Unlock()
	attempt.picks++
	connection := &attempt.backend.connection
	if attempt.picks > 1 || connection.subConn == nil || !connection.ready {
		attempt.notSent = true
		return balancer.PickResult{}, status.Error(codes.Unavailable, "grpcbalancer: not sent")
	}
	return balancer.PickResult{SubConn: connection.subConn}, nil
}
