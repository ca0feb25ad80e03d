package proxy

import (
	"bytes"
	"strconv"
	"strings"

	"cinderroad/internal/shared/httpwire"
)

const (
	// maxEventBytes bounds an event that is not whole yet, in bytes; a stream with a longer one cannot be continued elsewhere.
	maxEventBytes = 256 << 10
	// maxSpareBytes is how much of an empty buffer a stream keeps for its next event.
	maxSpareBytes = 4096
)

// eventReader cuts a text/event-stream into events, each with the empty line that ends it.
type eventReader struct {
	lastID       string // of the last whole event that was passed on; empty: none had one
	partial      []byte // of the event that is not whole
	lineStart    int    // where in held the line begins that is not whole
	passthrough  bool   // the stream cannot be cut into events: bytes are passed on as they come
	unidentified bool   // an event without an id was passed on after the last one with an id
	resumed      bool   // the stream goes on from another runner
}

// reset makes the reader ready for a stream that goes on after an event; empty: from its beginning.
func (r *eventReader) reset(lastID string) { *r = eventReader{lastID: lastID} }

// canResume says whether the stream can go on from another runner after what was passed on.
func (r *eventReader) canResume() bool { return !r.passthrough && !r.unidentified }

// push takes bytes of the stream and appends the whole events that they bring to out; events is how many. An event
// whose id says that it was passed on before is left out.
func (r *eventReader) push(out, data []byte) (_ []byte, events int) {
	if r.passthrough {
		return append(out, data...), 1
	}
	r.partial = append(r.partial, data...)
	begin := 0
	for {
		end := bytes.IndexByte(r.partial[r.lineStart:], '\n')
		if end < 0 {
			break
		}
		end += r.lineStart
		empty := end == r.lineStart || end == r.lineStart+1 && r.partial[r.lineStart] == '\r'
		r.lineStart = end + 1
		if !empty {
			continue
		}
		event := r.partial[begin:r.lineStart]
		begin = r.lineStart
		if r.accept(event) {
			out = append(out, event...)
			events++
		}
	}
	r.discardConsumed(begin)
	if len(r.partial) > maxEventBytes {
		r.passthrough = true
		out = append(out, r.partial...)
		r.partial = nil
	}
	return out, events
}

// discardConsumed drops what has been passed on.
func (r *eventReader) discardConsumed(begin int) {
	r.lineStart -= begin
	rest := copy(r.partial, r.partial[begin:])
	if r.partial = r.partial[:rest]; rest == 0 && cap(r.partial) > maxSpareBytes {
		r.partial = nil
	}
}

// accept notes the id of a whole event; false when it was passed on before.
func (r *eventReader) accept(event []byte) bool {
	id, numbered, data := parseEventID(event)
	if !numbered {
		r.unidentified = r.unidentified || data
		return true
	}
	if r.resumed && r.lastID != "" && !idAfter(r.lastID, id) {
		return false
	}
	r.lastID, r.unidentified = id, !httpwire.IsVisibleASCII(id)
	return true
}

// resume drops the event that is not whole: the stream goes on from another runner.
func (r *eventReader) resume() { r.partial, r.lineStart, r.resumed = nil, 0, true }

// remainder is what is held when the stream has ended.
func (r *eventReader) remainder() []byte { return r.partial }

// parseEventID reads the id of a whole event; data says that it has data.
func parseEventID(event []byte) (id string, numbered, data bool) {
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

// idAfter says whether the id of an event comes after another one's.
func idAfter(last, id string) bool {
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
