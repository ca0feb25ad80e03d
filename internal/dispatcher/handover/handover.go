// Package handover is what two processes of one dispatcher say to each other while the newer takes the older one's
// place: frames over a unix socket, some with a descriptor.
package handover

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"

	"cinderroad/internal/shared/eventloop"
)

// Version is of the frames and their bodies. Another version's process is no heir and no predecessor.
const Version = 1

const (
	magic      = 'R'
	headerSize = 7       // magic, version, kind, length
	maxBody    = 9 << 20 // the state holds the whole list
	maxQueries = 4096    // that wait for their answer
)

// Kind is the kind of a frame.
type Kind uint8

// The kinds. Questions are answered by Answer, once.
const (
	Hello           Kind = iota + 1 // the newer process asks for the state
	State                           // and gets it, with the descriptors that it names
	Takeover                        // the newer one takes the clients
	Session                         // a client session, with its descriptor
	SessionReceived                 // one session has arrived
	CallbackQuery                   // a question: whose is this call-back
	Order                           // a question: carry out what the staff ask
	Answer
	Metrics // what the older one has counted, for a newer one that said in Hello that it takes this
	lastKind
)

var (
	errIncomplete = errors.New("handover: frame not whole")
	errVersion    = errors.New("handover: another version")
)

// AppendFrame writes a frame.
func AppendFrame(b []byte, kind Kind, body []byte) []byte {
	b = append(b, magic, Version, byte(kind))
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)))
	return append(b, body...)
}

// ParseFrame reads one frame from the start of b and tells how many bytes it took; the body is a part of b.
func ParseFrame(b []byte) (kind Kind, body []byte, size int, err error) {
	if len(b) > 0 && b[0] != magic {
		return 0, nil, 0, errors.New("handover: no frame")
	}
	if len(b) > 1 && b[1] != Version {
		return 0, nil, 0, errVersion
	}
	if len(b) < headerSize {
		return 0, nil, 0, errIncomplete
	}
	kind = Kind(b[2])
	bodySize := binary.BigEndian.Uint32(b[3:])
	switch {
	case kind == 0 || kind >= lastKind:
		return 0, nil, 0, fmt.Errorf("handover: kind %d", kind)
	case bodySize > maxBody:
		return 0, nil, 0, fmt.Errorf("handover: frame of %d bytes", bodySize)
	case len(b)-headerSize < int(bodySize):
		return 0, nil, 0, errIncomplete
	}
	size = headerSize + int(bodySize)
	return kind, b[headerSize:size], size, nil
}

// Handler hears what comes along a link.
type Handler interface {
	HandleUp(l *Link)
	HandleMessage(l *Link, kind Kind, body []byte) error
	HandleQuery(l *Link, kind Kind, body []byte, answer func(yes bool))
	HandleDown(l *Link, err error)
}

// Link is the connection to the other process.
type Link struct {
	conn      *eventloop.Conn
	handler   Handler
	queries   map[uint64]func(yes bool)
	lastQuery uint64
	closed    bool
}

// Connect looks for the process that serves at path; Down tells if there is none.
func Connect(loop *eventloop.Loop, path string, handler Handler) *Link {
	l := &Link{handler: handler, queries: map[uint64]func(bool){}}
	l.conn = loop.ConnectUnixWithDescriptors(path, l)
	return l
}

// Accept owns a connection from a newer process.
func Accept(conn *eventloop.Conn, handler Handler) *Link {
	conn.EnableDescriptorPassing()
	return &Link{conn: conn, handler: handler, queries: map[uint64]func(bool){}}
}

// Send sends a frame whose body is v as JSON.
func (l *Link) Send(kind Kind, message any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	l.conn.Write(AppendFrame(nil, kind, body))
	return nil
}

// SendDescriptor sends a frame with a descriptor, which is the other's from now on. It holds a head, as JSON, and bytes.
func (l *Link) SendDescriptor(kind Kind, header any, payload []byte, fd int) error {
	headerText, err := json.Marshal(header)
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	body := binary.BigEndian.AppendUint32(nil, uint32(len(headerText)))
	l.conn.WriteWithDescriptor(AppendFrame(nil, kind, append(append(body, headerText...), payload...)), fd)
	return nil
}

// DecodeDescriptorFrame reads what Pass has sent.
func (l *Link) DecodeDescriptorFrame(body []byte, header any) (payload []byte, fd int, err error) {
	fd, ok := l.conn.NextDescriptor()
	if !ok {
		return nil, -1, errors.New("handover: no descriptor came")
	}
	if len(body) < 4 || len(body)-4 < int(binary.BigEndian.Uint32(body)) {
		return nil, fd, errors.New("handover: short frame")
	}
	headerText, payload := body[4:4+binary.BigEndian.Uint32(body)], body[4+binary.BigEndian.Uint32(body):]
	if err := json.Unmarshal(headerText, header); err != nil {
		return nil, fd, fmt.Errorf("handover: %w", err)
	}
	return payload, fd, nil
}

// NextDescriptor is the next one that came along.
func (l *Link) NextDescriptor() (fd int, ok bool) { return l.conn.NextDescriptor() }

// Query sends a question; done gets the answer, or a no when the link ends before it has come. False when too many wait.
func (l *Link) Query(kind Kind, body []byte, done func(yes bool)) bool {
	if l.closed || len(l.queries) >= maxQueries {
		return false
	}
	l.lastQuery++
	l.queries[l.lastQuery] = done
	l.conn.Write(AppendFrame(nil, kind, append(binary.BigEndian.AppendUint64(nil, l.lastQuery), body...)))
	return true
}

// Idle says whether nothing that was sent waits to go out or for its answer.
func (l *Link) Idle() bool { return l.closed || len(l.queries) == 0 && l.conn.Unsent() == 0 }

// Close ends the link; its owner hears nothing more, its questions have a no.
func (l *Link) Close() {
	l.conn.Close()
	l.failQueries()
}

func (l *Link) failQueries() {
	l.closed = true
	queries := l.queries
	l.queries = nil
	for _, done := range queries {
		done(false)
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

func (l *Link) handleFrame(kind Kind, body []byte) error {
	switch kind {
	case CallbackQuery, Order, Answer:
	default:
		return l.handler.HandleMessage(l, kind, body)
	}
	if len(body) < 8 {
		return errors.New("handover: short frame")
	}
	query, payload := binary.BigEndian.Uint64(body), body[8:]
	if kind != Answer {
		l.handler.HandleQuery(l, kind, payload, func(yes bool) {
			reply := binary.BigEndian.AppendUint64(nil, query)
			if yes {
				reply = append(reply, 1)
			}
			l.conn.Write(AppendFrame(nil, Answer, reply))
		})
		return nil
	}
	if done := l.queries[query]; done != nil {
		delete(l.queries, query)
		done(len(payload) > 0)
	}
	return nil
}
