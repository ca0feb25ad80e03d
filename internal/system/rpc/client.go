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

// ClientOptions are a client's. Fields that are 0 have the defaults.
type ClientOptions struct {
	DialTimeout     time.Duration // bound on setting a connection up; default 1 s
	CallTimeout     time.Duration // bound on a call whose context has no nearer end; default 3 s
	TCPUserTimeout  time.Duration // after which sent bytes without acknowledgement end the connection; default 3 s
	DialBackoff     time.Duration // pause after a failed dial, doubled up to 8 times this; default 100 ms
	MaxPendingSends int           // calls of Send that may be unanswered at once; default 16
	MaxReplyBytes   int64         // bound on a reply; default 64 MiB
}

const (
	defaultDial         = time.Second
	defaultCall         = 3 * time.Second
	defaultUserTimeout  = 3 * time.Second
	defaultRetry        = 100 * time.Millisecond
	defaultWindow       = 16
	defaultMessageBytes = 64 << 20
	mostRetries         = 8 // longest pause between dials, in Options.Retry
)

func (o *ClientOptions) complete() {
	defaultTo(&o.DialTimeout, defaultDial)
	defaultTo(&o.CallTimeout, defaultCall)
	defaultTo(&o.TCPUserTimeout, defaultUserTimeout)
	defaultTo(&o.DialBackoff, defaultRetry)
	defaultTo(&o.MaxPendingSends, defaultWindow)
	defaultTo(&o.MaxReplyBytes, defaultMessageBytes)
}

func defaultTo[T comparable](field *T, value T) {
	var unset T
	if *field == unset {
		*field = value
	}
}

// Client calls one process over one connection, which it sets up when it is needed. It is safe for concurrent use.
type Client struct {
	address netip.AddrPort
	options ClientOptions
	ended   context.Context
	end     context.CancelFunc
	open    func(ctx context.Context) (net.Conn, error) // a connection to the process

	mutex   sync.Mutex
	live    *connection
	dialing *dialing
	pause   time.Duration // before the next dial; 0: the last one succeeded
	retryAt time.Time
	failure error // of the last dial
}

// connection is one that stands. Its unanswered sends belong to whoever holds sending.
type connection struct {
	socket   net.Conn
	rpc      *netrpc.Client
	codec    *clientCodec
	sending  chan struct{} // holds one token: the right to send
	answered chan *netrpc.Call
	waiting  int // sends that are not answered
}

// dialing is an attempt that all who need the connection wait for.
type dialing struct {
	done       chan struct{}
	connection *connection
	err        error
}

// NewClient returns a client of the process at the address. It dials with the first call.
func NewClient(address netip.AddrPort, options ClientOptions) *Client {
	options.complete()
	ended, end := context.WithCancel(context.Background())
	c := &Client{address: address, options: options, ended: ended, end: end}
	c.open = c.openSocket
	return c
}

// openSocket opens a TCP connection.
func (c *Client) openSocket(ctx context.Context) (net.Conn, error) {
	dialer := net.Dialer{Control: controlSocket(c.options.TCPUserTimeout), KeepAliveConfig: keepAlive}
	return dialer.DialContext(ctx, "tcp4", c.address.String())
}

// Address is where the client's process listens.
func (c *Client) Address() netip.AddrPort { return c.address }

// Close ends the connection and all calls.
func (c *Client) Close() {
	c.end()
	c.mutex.Lock()
	live := c.live
	c.live = nil
	c.mutex.Unlock()
	if live != nil {
		live.rpc.Close()
	}
}

// call makes a call; a nil error says that reply is filled.
func (c *Client) call(ctx context.Context, name string, argument, reply any) error {
	conn, err := c.connect(ctx)
	if err != nil {
		return &UnreachableError{c.address, err}
	}
	heard := conn.codec.heard.Load()
	call := conn.rpc.Go(name, argument, reply, make(chan *netrpc.Call, 1))
	select {
	case <-call.Done:
		return c.outcome(conn, call)
	case <-ctx.Done():
		return c.unanswered(conn, name, heard, ctx.Err())
	}
}

// unanswered is the error of a call that is given up. A connection that has been silent since ends if the call ran out of
// time.
func (c *Client) unanswered(conn *connection, name string, heard uint64, cause error) error {
	silent := conn.codec.heard.Load() == heard
	if silent && errors.Is(cause, context.DeadlineExceeded) {
		c.drop(conn)
	}
	return &NoReplyError{c.address, name, cause}
}

// outcome is the error of a finished call. Any other than the handler's own ends the connection.
func (c *Client) outcome(conn *connection, call *netrpc.Call) error {
	if call.Error == nil {
		return nil
	}
	var remote netrpc.ServerError
	if errors.As(call.Error, &remote) {
		return &RemoteError{c.address, call.ServiceMethod, call.Error.Error()}
	}
	c.drop(conn)
	return &NoReplyError{c.address, call.ServiceMethod, call.Error}
}

// send makes a call whose answer nobody waits for.
func (c *Client) send(ctx context.Context, name string, argument, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.CallTimeout)
	defer cancel()
	conn, err := c.connect(ctx)
	if err != nil {
		return &UnreachableError{c.address, err}
	}
	select {
	case <-conn.sending:
		defer func() { conn.sending <- struct{}{} }()
	case <-ctx.Done():
		return &NoReplyError{c.address, name, ctx.Err()}
	}
	if err := conn.settle(ctx, c.options.MaxPendingSends); err != nil {
		c.drop(conn)
		return &NoReplyError{c.address, name, err}
	}
	conn.waiting++
	conn.rpc.Go(name, argument, reply, conn.answered)
	return nil
}

// settle takes the answers that came and waits until fewer than window are outstanding.
func (conn *connection) settle(ctx context.Context, window int) error {
	for conn.waiting > 0 {
		var call *netrpc.Call
		select {
		case call = <-conn.answered:
		default:
			if conn.waiting < window {
				return nil
			}
			select {
			case call = <-conn.answered:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		conn.waiting--
		var remote netrpc.ServerError
		if call.Error != nil && !errors.As(call.Error, &remote) {
			return call.Error
		}
	}
	return nil
}

// drop ends a connection, so that the next call sets up another.
func (c *Client) drop(conn *connection) {
	c.mutex.Lock()
	if c.live == conn {
		c.live = nil
	}
	c.mutex.Unlock()
	conn.rpc.Close()
}

// connect returns the connection, set up if need be, after the pause that a failed dial asks for.
func (c *Client) connect(ctx context.Context) (*connection, error) {
	for {
		c.mutex.Lock()
		if c.ended.Err() != nil {
			c.mutex.Unlock()
			return nil, closedError{}
		}
		if c.live != nil && c.live.codec.ended.Load() {
			c.live = nil
		}
		if c.live != nil {
			defer c.mutex.Unlock()
			return c.live, nil
		}
		attempt, wait, failure := c.dialing, time.Until(c.retryAt), c.failure
		if attempt == nil && (c.pause == 0 || wait <= 0) {
			attempt = &dialing{done: make(chan struct{})}
			c.dialing = attempt
			go c.dial(attempt)
		}
		c.mutex.Unlock()
		if attempt == nil {
			if err := c.sleep(ctx, wait, failure); err != nil {
				return nil, err
			}
			continue
		}
		select {
		case <-attempt.done:
			return attempt.connection, attempt.err
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// sleep waits out the pause between dials; it gives up at once where the context ends sooner.
func (c *Client) sleep(ctx context.Context, wait time.Duration, failure error) error {
	if deadline, bound := ctx.Deadline(); bound && time.Until(deadline) < wait {
		return failure
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-c.ended.Done():
		return closedError{}
	}
}

// dial makes an attempt and tells those who wait for it.
func (c *Client) dial(attempt *dialing) {
	ctx, cancel := context.WithTimeout(c.ended, c.options.DialTimeout)
	defer cancel()
	socket, err := c.open(ctx)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	defer close(attempt.done)
	c.dialing = nil
	if err == nil && c.ended.Err() != nil {
		socket.Close()
		err = closedError{}
	}
	if err != nil {
		c.pause = min(max(2*c.pause, c.options.DialBackoff), mostRetries*c.options.DialBackoff)
		c.retryAt = time.Now().Add(c.pause)
		c.failure = err
		attempt.err = err
		return
	}
	c.pause = 0
	c.live = newConnection(socket, &c.options)
	attempt.connection = c.live
}

func newConnection(socket net.Conn, o *ClientOptions) *connection {
	codec := newClientCodec(socket, o)
	conn := &connection{socket: socket, codec: codec, rpc: netrpc.NewClientWithCodec(codec),
		sending: make(chan struct{}, 1), answered: make(chan *netrpc.Call, o.MaxPendingSends)}
	conn.sending <- struct{}{}
	return conn
}
