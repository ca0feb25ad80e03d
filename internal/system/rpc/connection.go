package rpc

import (
	"context"
	"errors"
	"net"
	netrpc "net/rpc"
)

// connection is an open connection. pendingSends and sendReplies belong to the goroutine that holds the token of
// sendToken.
type connection struct {
	socket       net.Conn
	client       *netrpc.Client
	codec        *clientCodec
	sendToken    chan struct{}     // holds one token: the right to send
	sendReplies  chan *netrpc.Call // finished calls of Send; its buffer holds all pending ones
	pendingSends int               // calls of Send without a reply yet
}

func newConnection(socket net.Conn, options *ClientOptions) *connection {
	codec := newClientCodec(socket, options)
	conn := &connection{
		socket:      socket,
		codec:       codec,
		client:      netrpc.NewClientWithCodec(codec),
		sendToken:   make(chan struct{}, 1),
		sendReplies: make(chan *netrpc.Call, options.MaxPendingSends),
	}
	conn.sendToken <- struct{}{}
	return conn
}

// collectReplies receives the replies of sends that have arrived, and waits for further ones only until fewer than window
// are pending. It returns the error of a send that broke the connection; the errors of handlers are dropped.
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

// receivedBytes returns the number of bytes received so far.
func (conn *connection) receivedBytes() uint64 { return conn.codec.stream.reader.received.Load() }
