package rpc

import (
	"context"
	"errors"
	"net"
	"net/netip"
	netrpc "net/rpc"
	"sync"
	"time"
)

// Client calls one process over one connection, which it sets up when needed. It is safe for concurrent use.
type Client struct {
	address       netip.AddrPort
	options       ClientOptions
	closed        context.Context // ends with Close
	close         context.CancelFunc
	dialTransport func(ctx context.Context) (net.Conn, error) // dialTCP, replaced by tests

	mutex         sync.Mutex
	connection    *connection   // nil: none
	pendingDial   *dialAttempt  // nil: none
	dialBackoff   time.Duration // before the next dial; 0: the last one succeeded
	nextDialAt    time.Time
	lastDialError error
}

// NewClient returns a client of the process at an address. It dials with the first call. Close must be called in the
// end.
func NewClient(address netip.AddrPort, options ClientOptions) *Client {
	options.setDefaults()
	closed, closeContext := context.WithCancel(context.Background())
	c := &Client{address: address, options: options, closed: closed, close: closeContext}
	c.dialTransport = c.dialTCP
	return c
}

// Address returns the address of the process.
func (c *Client) Address() netip.AddrPort { return c.address }

// Close closes the connection and waits for a dial in progress, which it ends. Calls in flight end with an error, later
// calls fail.
func (c *Client) Close() {
	c.close()
	c.mutex.Lock()
	connection := c.connection
	dial := c.pendingDial
	c.connection = nil
	c.mutex.Unlock()
	if dial != nil {
		<-dial.done
	}
	if connection != nil {
		connection.client.Close()
	}
}

// call makes a call. If it returns nil, reply is filled.
func (c *Client) call(ctx context.Context, name string, argument, reply any) error {
	conn, err := c.connect(ctx)
	if err != nil {
		return &UnreachableError{c.address, err}
	}
	repliesBefore := conn.codec.replies.Load()
	call := conn.client.Go(name, argument, reply, make(chan *netrpc.Call, 1))
	select {
	case <-call.Done:
		return c.finish(conn, call)
	case <-ctx.Done():
		return c.abandon(conn, name, repliesBefore, ctx.Err())
	}
}

// abandon gives up a call and returns its error. If the call timed out, a connection on which no reply to any call was
// received since it began is closed.
func (c *Client) abandon(conn *connection, name string, repliesBefore uint64, cause error) error {
	silent := conn.codec.replies.Load() == repliesBefore
	if silent && errors.Is(cause, context.DeadlineExceeded) {
		c.dropConnection(conn)
	}
	return &NoReplyError{c.address, name, cause}
}

// finish returns the error of a finished call. Any error other than the handler's closes the connection.
func (c *Client) finish(conn *connection, call *netrpc.Call) error {
	if call.Error == nil {
		return nil
	}
	var remote netrpc.ServerError
	if errors.As(call.Error, &remote) {
		return &RemoteError{c.address, call.ServiceMethod, call.Error.Error()}
	}
	c.dropConnection(conn)
	return &NoReplyError{c.address, call.ServiceMethod, call.Error}
}

// send makes a call whose reply nobody waits for.
func (c *Client) send(ctx context.Context, name string, argument, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.CallTimeout)
	defer cancel()
	conn, err := c.connect(ctx)
	if err != nil {
		return &UnreachableError{c.address, err}
	}
	select {
	case <-conn.sendToken:
		defer func() { conn.sendToken <- struct{}{} }()
	case <-ctx.Done():
		return &NoReplyError{c.address, name, ctx.Err()}
	}
	if err := conn.collectReplies(ctx, c.options.MaxPendingSends); err != nil {
		c.dropConnection(conn)
		return &NoReplyError{c.address, name, err}
	}
	conn.pendingSends++
	conn.client.Go(name, argument, reply, conn.sendReplies)
	return nil
}

// dropConnection closes a connection, so that the next call dials.
func (c *Client) dropConnection(conn *connection) {
	c.mutex.Lock()
	if c.connection == conn {
		c.connection = nil
	}
	c.mutex.Unlock()
	conn.client.Close()
}
