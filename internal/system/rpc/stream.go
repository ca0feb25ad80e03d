package rpc

import (
	"bufio"
	"encoding/gob"
	"net"
	"time"
)

const (
	bufferSize   = 4 << 10  // bytes buffered in each direction of a connection
	maxWriteSize = 32 << 10 // bytes written under one write deadline
)

// timedWriter writes to a connection and fails once the peer has accepted nothing for a timeout. A large message, or
// one on a slow link, may take longer than that as long as it makes progress.
type timedWriter struct {
	socket  net.Conn
	timeout time.Duration
}

// Write writes in chunks, each with a deadline of its own.
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

// stream is the gob stream of a connection, in both directions.
type stream struct {
	socket  net.Conn
	reader  *limitedReader // below decoder
	decoder *gob.Decoder
	writer  *bufio.Writer // below encoder
	encoder *gob.Encoder
}

func newStream(socket net.Conn, limit int64, writeTimeout time.Duration) *stream {
	reader := &limitedReader{source: socket, limit: limit, remaining: limit}
	writer := bufio.NewWriterSize(&timedWriter{socket, writeTimeout}, bufferSize)
	return &stream{
		socket:  socket,
		reader:  reader,
		writer:  writer,
		decoder: gob.NewDecoder(bufio.NewReaderSize(reader, bufferSize)),
		encoder: gob.NewEncoder(writer),
	}
}

// write sends a header and a body. After an error the stream can't be used any more.
func (s *stream) write(header, body any) error {
	if err := s.encoder.Encode(header); err != nil {
		return err
	}
	if err := s.encoder.Encode(body); err != nil {
		return err
	}
	return s.writer.Flush()
}
