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
func (c Call[Argument, Reply]) InvokeWhileReceiving(ctx context.Context, client *Client, patience ReceiveTimeouts,
	argument *Argument) (*Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, patience.Total)
	defer cancel()
	reply := new(Reply)
	if err := client.callPatiently(ctx, &patience, c.name, argument, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// progress is how far an answer is. It has no clock of its own.
type progress struct {
	patience *ReceiveTimeouts
	received uint64        // bytes, when it was last looked at
	due      time.Duration // when it is to be looked at
}

func newProgress(patience *ReceiveTimeouts, now time.Duration, received uint64) progress {
	return progress{patience: patience, received: received, due: now + patience.FirstByte}
}

// look takes how many bytes have come and returns how long to wait until the next look; 0: nothing more has come in time.
func (p *progress) look(now time.Duration, received uint64) time.Duration {
	if now >= p.due && received != p.received {
		p.received = received
		p.due = now + p.patience.Idle
	}
	return max(0, p.due-now)
}

// callPatiently is call, bounded by a patience beside the context.
func (c *Client) callPatiently(ctx context.Context, patience *ReceiveTimeouts, name string, argument, reply any) error {
	connecting, connected := context.WithTimeout(ctx, patience.FirstByte)
	defer connected()
	conn, err := c.connect(connecting)
	if err != nil {
		return &UnreachableError{c.address, err}
	}
	began, heard := time.Now(), conn.codec.heard.Load()
	progress := newProgress(patience, 0, conn.received())
	call := conn.rpc.Go(name, argument, reply, make(chan *netrpc.Call, 1))
	look := time.NewTimer(patience.FirstByte)
	defer look.Stop()
	for {
		select {
		case <-call.Done:
			return c.outcome(conn, call)
		case <-ctx.Done():
			return c.unanswered(conn, name, heard, ctx.Err())
		case <-look.C:
		}
		wait := progress.look(time.Since(began), conn.received())
		if wait == 0 {
			c.drop(conn) // the rest of an answer may be stuck in it
			return &NoReplyError{c.address, name, context.DeadlineExceeded}
		}
		look.Reset(wait)
	}
}

// received is how many bytes have come.
func (conn *connection) received() uint64 { return conn.codec.stream.input.total.Load() }
