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
	bufferSize   = 4 << 10  // of each direction of a connection
	maxWriteSize = 32 << 10 // that have the write time-out to go out, of a larger message
)

// limitedReader reads from a connection and fails once more than the bound came since the last renewal.
type limitedReader struct {
	source    io.Reader
	limit     int64
	remaining int64
	received  atomic.Uint64 // bytes that have come
}

func (b *limitedReader) reset() { b.remaining = b.limit }

// Read reads what the bound leaves.
func (b *limitedReader) Read(p []byte) (int, error) {
	if b.remaining <= 0 {
		return 0, &MessageTooLargeError{b.limit}
	}
	n, err := b.source.Read(p[:min(int64(len(p)), b.remaining)])
	b.remaining -= int64(n)
	b.received.Add(uint64(n))
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
		n, err := w.socket.Write(p[written:min(written+maxWriteSize, len(p))])
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
	reader  *limitedReader
	decoder *gob.Decoder
	writer  *bufio.Writer
	encoder *gob.Encoder
}

func newStream(socket net.Conn, limit int64, writeTimeout time.Duration) *stream {
	input := &limitedReader{source: socket, limit: limit, remaining: limit}
	output := bufio.NewWriterSize(&timedWriter{socket, writeTimeout}, bufferSize)
	return &stream{socket: socket, reader: input, writer: output,
		decoder: gob.NewDecoder(bufio.NewReaderSize(input, bufferSize)), encoder: gob.NewEncoder(output)}
}

// write sends a header and a body. After an error the stream is of no more use.
func (s *stream) write(header, body any) error {
	if err := s.encoder.Encode(header); err != nil {
		return err
	}
	if err := s.encoder.Encode(body); err != nil {
		return err
	}
	return s.writer.Flush()
}

// clientCodec is net/rpc's codec of a client.
type clientCodec struct {
	stream  *stream
	replies atomic.Uint64 // answers that came
	ended   atomic.Bool   // nothing comes any more
}

func newClientCodec(socket net.Conn, options *ClientOptions) *clientCodec {
	return &clientCodec{stream: newStream(socket, options.MaxReplyBytes, options.TCPUserTimeout)}
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
	c.stream.reader.reset()
	err := c.stream.decoder.Decode(response)
	if err != nil {
		c.ended.Store(true)
		return err
	}
	c.replies.Add(1)
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
	stream    *stream
	slots     chan struct{}
	closeOnce sync.Once
	onClose   func()
}

// ReadRequestHeader waits for a free place and the next request.
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

// ReadRequestBody reads what belongs to the header; nil: it is to be passed over.
func (c *serverCodec) ReadRequestBody(body any) error {
	err := c.stream.decoder.Decode(body)
	if err != nil {
		c.shutdown()
	}
	return err
}

// WriteResponse sends an answer, and frees its place; net/rpc calls it for one answer at a time.
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

// Close ends the connection.
func (c *serverCodec) Close() error {
	c.shutdown()
	return nil
}

// shutdown ends the connection at once, whatever calls are still running.
func (c *serverCodec) shutdown() {
	c.closeOnce.Do(func() {
		c.stream.socket.Close()
		c.onClose()
	})
}
