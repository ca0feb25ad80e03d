package rpc

import (
	"bufio"
	"encoding/gob"
	"io"
	"net"
	netrpc "net/rpc"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	bufferBytes = 4 << 10  // of each direction of a connection
	writeBytes  = 32 << 10 // that have the write time-out to go out, of a larger message
)

// bounded reads from a connection and fails once more than the bound came since the last renewal.
type bounded struct {
	source io.Reader
	limit  int64
	left   int64
	total  atomic.Uint64 // bytes that have come
}

func (b *bounded) renew() { b.left = b.limit }

// Read reads what the bound leaves.
func (b *bounded) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, &MessageTooLargeError{b.limit}
	}
	n, err := b.source.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	b.total.Add(uint64(n))
	return n, err
}

// timedWriter writes to a connection and fails once the other side has taken nothing for a time-out. A message that is
// large, or whose link is thin, may take longer than that as long as it moves on.
type timedWriter struct {
	socket  net.Conn
	timeout time.Duration
}

// Write writes in parts, each of which has the time-out of its own.
func (w *timedWriter) Write(p []byte) (written int, err error) {
	for written < len(p) {
		if err := w.socket.SetWriteDeadline(time.Now().Add(w.timeout)); err != nil {
			return written, err
		}
		n, err := w.socket.Write(p[written:min(written+writeBytes, len(p))])
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// stream is one connection's gob stream in both directions.
type stream struct {
	socket  net.Conn
	input   *bounded
	decoder *gob.Decoder
	output  *bufio.Writer
	encoder *gob.Encoder
}

func newStream(socket net.Conn, limit int64, writeTimeout time.Duration) *stream {
	input := &bounded{source: socket, limit: limit, left: limit}
	output := bufio.NewWriterSize(&timedWriter{socket, writeTimeout}, bufferBytes)
	return &stream{socket: socket, input: input, output: output,
		decoder: gob.NewDecoder(bufio.NewReaderSize(input, bufferBytes)), encoder: gob.NewEncoder(output)}
}

// write sends a header and a body. After an error the stream is of no more use.
func (s *stream) write(header, body any) error {
	if err := s.encoder.Encode(header); err != nil {
		return err
	}
	if err := s.encoder.Encode(body); err != nil {
		return err
	}
	return s.output.Flush()
}

// clientCodec is net/rpc's codec of a client.
type clientCodec struct {
	stream *stream
	heard  atomic.Uint64 // answers that came
	ended  atomic.Bool   // nothing comes any more
}

func newClientCodec(socket net.Conn, o *ClientOptions) *clientCodec {
	return &clientCodec{stream: newStream(socket, o.MaxReplyBytes, o.TCPUserTimeout)}
}

// WriteRequest sends a call; net/rpc calls it for one call at a time.
func (c *clientCodec) WriteRequest(request *netrpc.Request, body any) error {
	err := c.stream.write(request, body)
	if err != nil {
		c.Close()
	}
	return err
}

// ReadResponseHeader waits for the next answer.
func (c *clientCodec) ReadResponseHeader(response *netrpc.Response) error {
	c.stream.input.renew()
	err := c.stream.decoder.Decode(response)
	if err != nil {
		c.ended.Store(true)
		return err
	}
	c.heard.Add(1)
	return nil
}

// ReadResponseBody reads what belongs to the header; nil: it is to be passed over.
func (c *clientCodec) ReadResponseBody(body any) error { return c.stream.decoder.Decode(body) }

// Close ends the connection.
func (c *clientCodec) Close() error {
	c.ended.Store(true)
	return c.stream.socket.Close()
}

// serverCodec is net/rpc's codec of a server's connection. It takes a request only once a place for it is free.
type serverCodec struct {
	stream *stream
	places chan struct{}
	once   sync.Once
	closed func()
}

// ReadRequestHeader waits for a free place and the next request.
func (c *serverCodec) ReadRequestHeader(request *netrpc.Request) error {
	c.places <- struct{}{}
	c.stream.input.renew()
	if err := c.stream.decoder.Decode(request); err != nil {
		c.shut()
		return err
	}
	request.ServiceMethod += serviceMethod
	return nil
}

// ReadRequestBody reads what belongs to the header; nil: it is to be passed over.
func (c *serverCodec) ReadRequestBody(body any) error {
	err := c.stream.decoder.Decode(body)
	if err != nil {
		c.shut()
	}
	return err
}

// WriteResponse sends an answer, and frees its place; net/rpc calls it for one answer at a time.
func (c *serverCodec) WriteResponse(response *netrpc.Response, body any) error {
	defer func() { <-c.places }()
	if response.Error != "" {
		response.Error = strings.ReplaceAll(response.Error, serviceMethod, "")
	}
	response.ServiceMethod = "" // the caller knows it by the sequence number
	err := c.stream.write(response, body)
	if err != nil {
		c.shut()
	}
	return err
}

// Close ends the connection.
func (c *serverCodec) Close() error {
	c.shut()
	return nil
}

// shut ends the connection at once, whatever calls are still running.
func (c *serverCodec) shut() {
	c.once.Do(func() {
		c.stream.socket.Close()
		c.closed()
	})
}
