package rpc

import (
	"net"
	netrpc "net/rpc"
	"sync/atomic"
)

// clientCodec is the net/rpc codec of a client's connection.
type clientCodec struct {
	stream  *stream
	replies atomic.Uint64 // received so far
	ended   atomic.Bool   // reading has failed: no more replies
}

func newClientCodec(socket net.Conn, options *ClientOptions) *clientCodec {
	return &clientCodec{stream: newStream(socket, options.MaxReplyBytes, options.TCPUserTimeout)}
}

// WriteRequest sends a call. net/rpc calls it for one call at a time.
func (c *clientCodec) WriteRequest(request *netrpc.Request, body any) error {
	err := c.stream.write(request, body)
	if err != nil {
		c.Close()
	}
	return err
}

// ReadResponseHeader waits for the next reply.
func (c *clientCodec) ReadResponseHeader(response *netrpc.Response) error {
	c.stream.reader.reset()
	err := c.stream.decoder.Decode(response)
	if err != nil {
		c.ended.Store(true)
		return err
	}
	c.replies.Add(1)
	return nil
}

// ReadResponseBody reads the reply that belongs to the header, or skips it if body is nil.
func (c *clientCodec) ReadResponseBody(body any) error { return c.stream.decoder.Decode(body) }

// Close closes the connection.
func (c *clientCodec) Close() error {
	c.ended.Store(true)
	return c.stream.socket.Close()
}
