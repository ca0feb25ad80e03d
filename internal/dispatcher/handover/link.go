package handover

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"

	"cinderroad/internal/shared/eventloop"
)

// Handler handles what a Link receives.
type Handler interface {
	// HandleUp is called when the link that Connect opened is connected.
	HandleUp(l *Link)
	// HandleMessage handles a frame that is neither a query nor an answer. An error closes the link. body is valid only
	// during the call.
	HandleMessage(l *Link, kind Kind, body []byte) error
	// HandleQuery handles a query. It must call answer once, now or later. body is valid only during the call.
	HandleQuery(l *Link, kind Kind, body []byte, answer func(yes bool))
	// HandleDown is called when the link has ended, unless Close ended it.
	HandleDown(l *Link, err error)
}

// QueryResult is what became of a query.
type QueryResult uint8

// The results of queries.
const (
	AnsweredNo QueryResult = iota
	AnsweredYes
	LinkEnded // before the answer
)

// Link is the connection to the other process. It implements eventloop.Handler.
type Link struct {
	conn      *eventloop.Conn
	handler   Handler
	queries   map[uint64]func(QueryResult) // that wait for their answer, by ID
	lastQuery uint64                       // ID of the last query
	closed    bool
}

// Connect opens a link to the process that listens at path. HandleDown is called if there is none.
func Connect(loop *eventloop.Loop, path string, handler Handler) *Link {
	l := &Link{handler: handler, queries: map[uint64]func(QueryResult){}}
	l.conn = loop.ConnectUnixWithDescriptors(path, l)
	return l
}

// Accept returns the link of a connection from a newer process.
func Accept(conn *eventloop.Conn, handler Handler) *Link {
	conn.EnableDescriptorPassing()
	return &Link{conn: conn, handler: handler, queries: map[uint64]func(QueryResult){}}
}

// Send sends a frame whose body is message as JSON.
func (l *Link) Send(kind Kind, message any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	l.conn.Write(AppendFrame(nil, kind, body))
	return nil
}

// SendDescriptor sends a frame with a descriptor, which the other process owns from now on; the caller keeps it if there is
// an error. The body is header as JSON and payload.
func (l *Link) SendDescriptor(kind Kind, header any, payload []byte, fd int) error {
	headerText, err := json.Marshal(header)
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	body := binary.BigEndian.AppendUint32(nil, uint32(len(headerText)))
	l.conn.WriteWithDescriptor(AppendFrame(nil, kind, append(append(body, headerText...), payload...)), fd)
	return nil
}

// DecodeDescriptorFrame decodes the body of a frame that SendDescriptor sent. The caller owns the descriptor, also with an
// error, unless it is -1. The payload aliases body.
func (l *Link) DecodeDescriptorFrame(body []byte, header any) (payload []byte, fd int, err error) {
	fd, ok := l.conn.NextDescriptor()
	if !ok {
		return nil, -1, &FrameError{Reason: "frame without its descriptor"}
	}
	if len(body) < lengthSize || len(body)-lengthSize < int(binary.BigEndian.Uint32(body)) {
		return nil, fd, &FrameError{Reason: "short frame"}
	}
	end := lengthSize + binary.BigEndian.Uint32(body)
	headerText, payload := body[lengthSize:end], body[end:]
	if err := json.Unmarshal(headerText, header); err != nil {
		return nil, fd, fmt.Errorf("handover: %w", err)
	}
	return payload, fd, nil
}

// Query sends a query. done is called once, with its result. It returns false, and does not call done, if the link has ended
// or too many queries are waiting.
func (l *Link) Query(kind Kind, body []byte, done func(QueryResult)) bool {
	if l.closed || len(l.queries) >= maxQueries {
		return false
	}
	l.lastQuery++
	l.queries[l.lastQuery] = done
	l.conn.Write(AppendFrame(nil, kind, append(binary.BigEndian.AppendUint64(nil, l.lastQuery), body...)))
	return true
}

// Idle reports whether everything has been sent and every query has its answer, or the link has ended.
func (l *Link) Idle() bool { return l.closed || len(l.queries) == 0 && l.conn.Unsent() == 0 }

// Ended reports whether the link has ended.
func (l *Link) Ended() bool { return l.closed }

// Close ends the link. Waiting queries get LinkEnded; HandleDown is not called.
func (l *Link) Close() {
	l.conn.Close()
	l.failQueries()
}

// failQueries marks the link as ended and ends the waiting queries.
func (l *Link) failQueries() {
	l.closed = true
	queries := l.queries
	l.queries = nil
	for _, done := range queries {
		done(LinkEnded)
	}
}

// Opened implements eventloop.Handler.
func (l *Link) Opened(*eventloop.Conn) { l.handler.HandleUp(l) }

// Closed implements eventloop.Handler.
func (l *Link) Closed(_ *eventloop.Conn, err error) {
	l.failQueries()
	l.handler.HandleDown(l, err)
}

// Data implements eventloop.Handler.
func (l *Link) Data(conn *eventloop.Conn) {
	for !l.closed {
		kind, body, size, err := ParseFrame(conn.Bytes())
		if errors.Is(err, errIncomplete) {
			return
		}
		if err == nil {
			err = l.handleFrame(kind, body)
			conn.Consume(min(size, len(conn.Bytes())))
		}
		if err != nil {
			if !l.closed {
				l.Close()
				l.handler.HandleDown(l, err)
			}
			return
		}
	}
}

// handleFrame handles one frame; an error is final.
func (l *Link) handleFrame(kind Kind, body []byte) error {
	switch kind {
	case CallbackQuery, Order, Answer:
	default:
		return l.handler.HandleMessage(l, kind, body)
	}
	if len(body) < queryIDSize {
		return &FrameError{Kind: kind, Reason: "short frame"}
	}
	query := binary.BigEndian.Uint64(body)
	payload := body[queryIDSize:]
	if kind != Answer {
		l.handler.HandleQuery(l, kind, payload, func(yes bool) {
			reply := binary.BigEndian.AppendUint64(nil, query)
			if yes {
				reply = append(reply, 1) // any byte is a yes
			}
			l.conn.Write(AppendFrame(nil, Answer, reply))
		})
		return nil
	}
	if done := l.queries[query]; done != nil {
		delete(l.queries, query)
		result := AnsweredNo
		if len(payload) > 0 {
			result = AnsweredYes
		}
		done(result)
	}
	return nil
}
