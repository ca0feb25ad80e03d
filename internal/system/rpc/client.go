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
	defaultDialTimeout     = time.Second
	defaultCallTimeout     = 3 * time.Second
	defaultTCPUserTimeout  = 3 * time.Second
	defaultDialBackoff     = 100 * time.Millisecond
	defaultMaxPendingSends = 16
	defaultMaxReplyBytes   = 64 << 20
	maxDialBackoffFactor   = 8 // longest pause between dials, in Options.Retry
)

func (o *ClientOptions) setDefaults() {
	setDefault(&o.DialTimeout, defaultDialTimeout)
	setDefault(&o.CallTimeout, defaultCallTimeout)
	setDefault(&o.TCPUserTimeout, defaultTCPUserTimeout)
	setDefault(&o.DialBackoff, defaultDialBackoff)
	setDefault(&o.MaxPendingSends, defaultMaxPendingSends)
	setDefault(&o.MaxReplyBytes, defaultMaxReplyBytes)
}

func setDefault[T comparable](field *T, value T) {
	var unset T
	if *field == unset {
		*field = value
	}
}

// Client calls one process over one connection, which it sets up when it is needed. It is safe for concurrent use.
type Client struct {
	address       netip.AddrPort
	options       ClientOptions
	closed        context.Context
	close         context.CancelFunc
	dialTransport func(ctx context.Context) (net.Conn, error) // a connection to the process

	mutex         sync.Mutex
	connection    *connection
	pendingDial   *dialAttempt
	dialBackoff   time.Duration // before the next dial; 0: the last one succeeded
	nextDialAt    time.Time
	lastDialError error // of the last dial
}

// connection is one that stands. Its unanswered sends belong to whoever holds sending.
type connection struct {
	socket       net.Conn
	client       *netrpc.Client
	codec        *clientCodec
	sendToken    chan struct{} // holds one token: the right to send
	sendReplies  chan *netrpc.Call
	pendingSends int // sends that are not answered
}

// dialAttempt is an attempt that all who need the connection wait for.
type dialAttempt struct {
	done       chan struct{}
	connection *connection
	err        error
}

// NewClient returns a client of the process at the address. It dials with the first call.
func NewClient(address netip.AddrPort, options ClientOptions) *Client {
	options.setDefaults()
	ended, end := context.WithCancel(context.Background())
	c := &Client{address: address, options: options, closed: ended, close: end}
	c.dialTransport = c.dialTCP
	return c
}

// dialTCP opens a TCP connection.
func (c *Client) dialTCP(ctx context.Context) (net.Conn, error) {
	dialer := net.Dialer{Control: controlSocket(c.options.TCPUserTimeout), KeepAliveConfig: keepAlive}
	return dialer.DialContext(ctx, "tcp4", c.address.String())
}

// Address is where the client's process listens.
func (c *Client) Address() netip.AddrPort { return c.address }

// Close ends the connection and all calls.
func (c *Client) Close() {
	c.close()
	c.mutex.Lock()
	live := c.connection
	c.connection = nil
	c.mutex.Unlock()
	if live != nil {
		live.client.Close()
	}
}

// call makes a call; a nil error says that reply is filled.
func (c *Client) call(ctx context.Context, name string, argument, reply any) error {
	conn, err := c.connect(ctx)
	if err != nil {
		return &UnreachableError{c.address, err}
	}
	heard := conn.codec.replies.Load()
	call := conn.client.Go(name, argument, reply, make(chan *netrpc.Call, 1))
	select {
	case <-call.Done:
		return c.finish(conn, call)
	case <-ctx.Done():
		return c.abandon(conn, name, heard, ctx.Err())
	}
}

// abandon is the error of a call that is given up. A connection that has been silent since ends if the call ran out of
// time.
func (c *Client) abandon(conn *connection, name string, heard uint64, cause error) error {
	silent := conn.codec.replies.Load() == heard
	if silent && errors.Is(cause, context.DeadlineExceeded) {
		c.dropConnection(conn)
	}
	return &NoReplyError{c.address, name, cause}
}

// finish is the error of a finished call. Any other than the handler's own ends the connection.
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

// send makes a call whose answer nobody waits for.
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

// collectReplies takes the answers that came and waits until fewer than window are outstanding.
func (conn *connection) collectReplies(ctx context.Context, window int) error {
	for conn.pendingSends > 0 {
		var call *netrpc.Call
		select {
		case call = <-conn.sendReplies:
		default:
			if conn.pendingSends < window {
				return nil
			}
			select {
			case call = <-conn.sendReplies:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		conn.pendingSends--
		var remote netrpc.ServerError
		if call.Error != nil && !errors.As(call.Error, &remote) {
			return call.Error
		}
	}
	return nil
}

// dropConnection ends a connection, so that the next call sets up another.
func (c *Client) dropConnection(conn *connection) {
	c.mutex.Lock()
	if c.connection == conn {
		c.connection = nil
	}
	c.mutex.Unlock()
	conn.client.Close()
}

// connect returns the connection, set up if need be, after the pause that a failed dial asks for.
func (c *Client) connect(ctx context.Context) (*connection, error) {
	for {
		c.mutex.Lock()
		if c.closed.Err() != nil {
			c.mutex.Unlock()
			return nil, closedError{}
		}
		if c.connection != nil && c.connection.codec.ended.Load() {
			c.connection = nil
		}
		if c.connection != nil {
			defer c.mutex.Unlock()
			return c.connection, nil
		}
		attempt, wait, failure := c.pendingDial, time.Until(c.nextDialAt), c.lastDialError
		if attempt == nil && (c.dialBackoff == 0 || wait <= 0) {
			attempt = &dialAttempt{done: make(chan struct{})}
			c.pendingDial = attempt
			go c.dial(attempt)
		}
		c.mutex.Unlock()
		if attempt == nil {
			if err := c.waitForNextDial(ctx, wait, failure); err != nil {
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

// waitForNextDial waits out the pause between dials; it gives up at once where the context ends sooner.
func (c *Client) waitForNextDial(ctx context.Context, wait time.Duration, failure error) error {
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
	case <-c.closed.Done():
		return closedError{}
	}
}

// dial makes an attempt and tells those who wait for it.
func (c *Client) dial(attempt *dialAttempt) {
	ctx, cancel := context.WithTimeout(c.closed, c.options.DialTimeout)
	defer cancel()
	socket, err := c.dialTransport(ctx)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	defer close(attempt.done)
	c.pendingDial = nil
	if err == nil && c.closed.Err() != nil {
		socket.Close()
		err = closedError{}
	}
	if err != nil {
		c.dialBackoff = min(max(2*c.dialBackoff, c.options.DialBackoff), maxDialBackoffFactor*c.options.DialBackoff)
		c.nextDialAt = time.Now().Add(c.dialBackoff)
		c.lastDialError = err
		attempt.err = err
		return
	}
	c.dialBackoff = 0
	c.connection = newConnection(socket, &c.options)
	attempt.connection = c.connection
}

func newConnection(socket net.Conn, options *ClientOptions) *connection {
	codec := newClientCodec(socket, options)
	conn := &connection{socket: socket, codec: codec, client: netrpc.NewClientWithCodec(codec),
		sendToken: make(chan struct{}, 1), sendReplies: make(chan *netrpc.Call, options.MaxPendingSends)}
	conn.sendToken <- struct{}{}
	return conn
}
