package rpc

import (
	"context"
	netrpc "net/rpc"
	"time"
)

// ReceiveTimeouts bounds a call by what comes from the other side: an answer that is on its way is not given up because it is
// large or the network slow.
type ReceiveTimeouts struct {
	FirstByte time.Duration // in which the answer has to begin
	Idle      time.Duration // in which more has to come once it has begun
	Total     time.Duration // in which it has to end, whatever comes
}

// InvokeWhileReceiving calls and returns by the end of the context, or once the patience is at its end. Only a client
// whose calls do not overlap tells one answer's bytes from another's.
func (c Call[Argument, Reply]) InvokeWhileReceiving(ctx context.Context, client *Client, timeouts ReceiveTimeouts,
	argument *Argument) (*Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeouts.Total)
	defer cancel()
	reply := new(Reply)
	if err := client.callWhileReceiving(ctx, &timeouts, c.name, argument, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// receiveProgress is how far an answer is. It has no clock of its own.
type receiveProgress struct {
	timeouts *ReceiveTimeouts
	received uint64        // bytes, when it was last looked at
	deadline time.Duration // when it is to be looked at
}

func newReceiveProgress(timeouts *ReceiveTimeouts, now time.Duration, received uint64) receiveProgress {
	return receiveProgress{timeouts: timeouts, received: received, deadline: now + timeouts.FirstByte}
}

// check takes how many bytes have come and returns how long to wait until the next look; 0: nothing more has come in time.
func (p *receiveProgress) check(now time.Duration, received uint64) time.Duration {
	if now >= p.deadline && received != p.received {
		p.received = received
		p.deadline = now + p.timeouts.Idle
	}
	return max(0, p.deadline-now)
}

// callWhileReceiving is call, bounded by a patience beside the context.
func (c *Client) callWhileReceiving(ctx context.Context, timeouts *ReceiveTimeouts, name string, argument, reply any) error {
	connecting, connected := context.WithTimeout(ctx, timeouts.FirstByte)
	defer connected()
	conn, err := c.connect(connecting)
	if err != nil {
		return &UnreachableError{c.address, err}
	}
	began, heard := time.Now(), conn.codec.replies.Load()
	progress := newReceiveProgress(timeouts, 0, conn.receivedBytes())
	call := conn.client.Go(name, argument, reply, make(chan *netrpc.Call, 1))
	timer := time.NewTimer(timeouts.FirstByte)
	defer timer.Stop()
	for {
		select {
		case <-call.Done:
			return c.finish(conn, call)
		case <-ctx.Done():
			return c.abandon(conn, name, heard, ctx.Err())
		case <-timer.C:
		}
		wait := progress.check(time.Since(began), conn.receivedBytes())
		if wait == 0 {
			c.dropConnection(conn) // the rest of an answer may be stuck in it
			return &NoReplyError{c.address, name, context.DeadlineExceeded}
		}
		timer.Reset(wait)
	}
}

// receivedBytes is how many bytes have come.
func (conn *connection) receivedBytes() uint64 { return conn.codec.stream.reader.received.Load() }
