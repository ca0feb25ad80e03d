package proxy

import (
	"bytes"
	"strconv"
	"strings"

	"cinderroad/internal/shared/httpwire"
)

// mostEvent bounds an event that is not whole yet, in bytes; a stream with a longer one cannot be continued elsewhere.
const mostEvent = 256 << 10

// eventReader cuts a text/event-stream into events, each with the empty line that ends it.
type eventReader struct {
	lastID string // of the last whole event that was passed on; empty: none had one
	held   []byte // of the event that is not whole
	line   int    // where in held the line begins that is not whole
	raw    bool   // the stream cannot be cut into events: bytes are passed on as they come
	loose  bool   // an event without an id was passed on after the last one with an id
	again  bool   // the stream goes on from another runner
}

// start makes the reader ready for a stream that goes on after an event; empty: from its beginning.
func (r *eventReader) start(lastID string) { *r = eventReader{lastID: lastID} }

// mayRestart says whether the stream can go on from another runner after what was passed on.
func (r *eventReader) mayRestart() bool { return !r.raw && !r.loose }

// push takes bytes of the stream and appends the whole events that they bring to out; events is how many. An event
// whose id says that it was passed on before is left out.
func (r *eventReader) push(out, data []byte) (_ []byte, events int) {
	if r.raw {
		return append(out, data...), 1
	}
	r.held = append(r.held, data...)
	begin := 0
	for {
		end := bytes.IndexByte(r.held[r.line:], '\n')
		if end < 0 {
			break
		}
		end += r.line
		empty := end == r.line || end == r.line+1 && r.held[r.line] == '\r'
		r.line = end + 1
		if !empty {
			continue
		}
		event := r.held[begin:r.line]
		begin = r.line
		if r.pass(event) {
			out = append(out, event...)
			events++
		}
	}
	r.keep(begin)
	if len(r.held) > mostEvent {
		r.raw = true
		out = append(out, r.held...)
		r.held = nil
	}
	return out, events
}

// keep drops what has been passed on.
func (r *eventReader) keep(begin int) {
	r.line -= begin
	rest := copy(r.held, r.held[begin:])
	if r.held = r.held[:rest]; rest == 0 && cap(r.held) > 4096 {
		r.held = nil
	}
}

// pass notes the id of a whole event; false when it was passed on before.
func (r *eventReader) pass(event []byte) bool {
	id, numbered, data := eventID(event)
	if !numbered {
		r.loose = r.loose || data
		return true
	}
	if r.again && r.lastID != "" && !rises(r.lastID, id) {
		return false
	}
	r.lastID, r.loose = id, !httpwire.IsVisibleASCII(id)
	return true
}

// restart drops the event that is not whole: the stream goes on from another runner.
func (r *eventReader) restart() { r.held, r.line, r.again = nil, 0, true }

// rest is what is held when the stream has ended.
func (r *eventReader) rest() []byte { return r.held }

// eventID reads the id of a whole event; data says that it has data.
func eventID(event []byte) (id string, numbered, data bool) {
	for len(event) > 0 {
		line, rest, _ := bytes.Cut(event, []byte("\n"))
		event = rest
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			id, numbered = strings.TrimRight(strings.TrimPrefix(string(value), " "), "\r"), true
		}
		data = data || bytes.HasPrefix(line, []byte("data"))
	}
	return id, numbered, data
}

// rises says whether the id of an event comes after another one's.
func rises(last, id string) bool {
	a, err1 := strconv.ParseInt(last, 10, 64)
	b, err2 := strconv.ParseInt(id, 10, 64)
	if err1 != nil || err2 != nil {
		return id != last
	}
	return b > a
}

// eventCounter counts the events of a stream whose bytes are passed on as they come.
type eventCounter struct {
	inLine  bool // the line at hand has bytes
	inEvent bool // the event at hand has lines
}

// count says how many events end in data.
func (c *eventCounter) count(data []byte) (events int) {
	for _, b := range data {
		switch {
		case b == '\r':
		case b != '\n':
			c.inLine, c.inEvent = true, true
		case c.inLine:
			c.inLine = false
		case c.inEvent:
			c.inEvent = false
			events++
		}
	}
	return events
}
