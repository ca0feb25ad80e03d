package rpc

import (
	"context"
	"net"
	"time"
)

// dialAttempt is a dial in progress, for which all calls that need the connection wait.
type dialAttempt struct {
	done       chan struct{} // closed once the other fields are set
	connection *connection
	err        error
}

// connect returns the connection. It dials if there is none, after the backoff of a failed dial.
func (c *Client) connect(ctx context.Context) (*connection, error) {
	for {
		c.mutex.Lock()
		if c.closed.Err() != nil {
			c.mutex.Unlock()
			return nil, errClosed
		}
		if c.connection != nil && c.connection.codec.ended.Load() {
			c.connection = nil
		}
		if c.connection != nil {
			defer c.mutex.Unlock()
			return c.connection, nil
		}
		attempt := c.pendingDial
		wait := time.Until(c.nextDialAt)
		failure := c.lastDialError
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

// waitForNextDial waits for the end of the backoff. If the context ends sooner it returns the last dial's error at
// once.
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
		return errClosed
	}
}

// dial makes an attempt and completes it. It ends by ClientOptions.DialTimeout or Client.Close, which waits for it.
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
		err = errClosed
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

// dialTCP opens a TCP connection.
func (c *Client) dialTCP(ctx context.Context) (net.Conn, error) {
	dialer := net.Dialer{Control: controlSocket(c.options.TCPUserTimeout), KeepAliveConfig: keepAlive}
	return dialer.DialContext(ctx, "tcp4", c.address.String())
}
