package rpc

import (
	"context"
	netrpc "net/rpc"
	"time"
)

// ReceiveTimeouts bounds a call by the progress of its reply: a reply that is being received is not abandoned because it
// is large or the network slow.
type ReceiveTimeouts struct {
	FirstByte time.Duration // until the reply begins, the set-up of the connection included
	Idle      time.Duration // between two receptions once the reply has begun
	Total     time.Duration // until the reply is complete
}

// InvokeWhileReceiving is like Invoke, bounded by the progress of the reply. The client's calls must not overlap: the
// bytes of different replies can't be told apart.
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

// receiveProgress tracks the progress of a reply. It has no clock of its own.
type receiveProgress struct {
	timeouts *ReceiveTimeouts
	received uint64        // bytes at the last check
	deadline time.Duration // of the next check
}

func newReceiveProgress(timeouts *ReceiveTimeouts, now time.Duration, received uint64) receiveProgress {
	return receiveProgress{timeouts: timeouts, received: received, deadline: now + timeouts.FirstByte}
}

// check returns the time until the next check, given the number of bytes received so far; 0: the reply has timed out.
func (p *receiveProgress) check(now time.Duration, received uint64) time.Duration {
	if now >= p.deadline && received != p.received {
		p.received = received
		p.deadline = now + p.timeouts.Idle
	}
	return max(0, p.deadline-now)
}

// callWhileReceiving is call, bounded by the progress of the reply as well as by the context.
func (c *Client) callWhileReceiving(ctx context.Context, timeouts *ReceiveTimeouts, name string, argument, reply any) error {
	dialContext, cancelDial := context.WithTimeout(ctx, timeouts.FirstByte)
	defer cancelDial()
	conn, err := c.connect(dialContext)
	if err != nil {
		return &UnreachableError{c.address, err}
	}
	start, repliesBefore := time.Now(), conn.codec.replies.Load()
	progress := newReceiveProgress(timeouts, 0, conn.receivedBytes())
	call := conn.client.Go(name, argument, reply, make(chan *netrpc.Call, 1))
	timer := time.NewTimer(timeouts.FirstByte)
	defer timer.Stop()
	for {
		select {
		case <-call.Done:
			return c.finish(conn, call)
		case <-ctx.Done():
			return c.abandon(conn, name, repliesBefore, ctx.Err())
		case <-timer.C:
		}
		wait := progress.check(time.Since(start), conn.receivedBytes())
		if wait == 0 {
			c.dropConnection(conn) // the rest of the reply may still arrive on it
			return &NoReplyError{c.address, name, context.DeadlineExceeded}
		}
		timer.Reset(wait)
	}
}
