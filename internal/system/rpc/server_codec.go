package rpc

import (
	netrpc "net/rpc"
	"strings"
	"sync"
)

// serverCodec is the net/rpc codec of a server's connection. It reads a request only when a slot is free.
type serverCodec struct {
	stream    *stream
	slots     chan struct{} // one element for each call that is read or running; net/rpc responds to each, which frees it
	closeOnce sync.Once
	onClose   func()
}

// ReadRequestHeader waits for a free slot and the next request.
func (c *serverCodec) ReadRequestHeader(request *netrpc.Request) error {
	c.slots <- struct{}{}
	c.stream.reader.reset()
	if err := c.stream.decoder.Decode(request); err != nil {
		c.shutdown()
		return err
	}
	request.ServiceMethod += serviceMethod
	return nil
}

// ReadRequestBody reads the argument that belongs to the header, or skips it if body is nil.
func (c *serverCodec) ReadRequestBody(body any) error {
	err := c.stream.decoder.Decode(body)
	if err != nil {
		c.shutdown()
	}
	return err
}

// WriteResponse sends a reply and frees its slot. net/rpc calls it for one reply at a time.
func (c *serverCodec) WriteResponse(response *netrpc.Response, body any) error {
	defer func() { <-c.slots }()
	if response.Error != "" {
		response.Error = strings.ReplaceAll(response.Error, serviceMethod, "")
	}
	response.ServiceMethod = "" // the caller knows it by the sequence number
	err := c.stream.write(response, body)
	if err != nil {
		c.shutdown()
	}
	return err
}

// Close closes the connection.
func (c *serverCodec) Close() error {
	c.shutdown()
	return nil
}

// shutdown closes the connection at once, whatever calls are still running.
func (c *serverCodec) shutdown() {
	c.closeOnce.Do(func() {
		c.stream.socket.Close()
		c.onClose()
	})
}
