package proxy

import (
	"bytes"
	"strconv"
	"strings"

	"cinderroad/internal/shared/httpwire"
)

const (
	// maxEventBytes bounds an incomplete event. A stream with a larger one cannot be resumed at another runner.
	maxEventBytes = 256 << 10
	// maxSpareBytes is the largest buffer that a stream without an incomplete event retains.
	maxSpareBytes = 4096
)

// eventReader splits a text/event-stream into events, each including the empty line that ends it.
type eventReader struct {
	lastID       string // of the last complete event that was forwarded; empty: none had one
	partial      []byte // bytes of the incomplete event
	lineStart    int    // offset in partial of the incomplete line
	passthrough  bool   // the stream cannot be split into events: bytes are forwarded as they arrive
	unidentified bool   // an event without an id was forwarded after the last one with an id
	resumed      bool   // the stream continues at another runner
}

// reset prepares the reader for a stream that follows the event lastID; empty: a stream from its beginning.
func (r *eventReader) reset(lastID string) { *r = eventReader{lastID: lastID} }

// canResume reports whether another runner can continue the stream after what was forwarded.
func (r *eventReader) canResume() bool { return !r.passthrough && !r.unidentified }

// push consumes bytes of the stream and appends the events they complete to out; events is their number. Events whose
// id shows that they were forwarded before are dropped.
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

// discardConsumed removes the bytes before begin from the buffer.
func (r *eventReader) discardConsumed(begin int) {
	r.lineStart -= begin
	rest := copy(r.partial, r.partial[begin:])
	r.partial = r.partial[:rest]
	if rest == 0 && cap(r.partial) > maxSpareBytes {
		r.partial = nil
	}
}

// accept records the id of a complete event; false if it was forwarded before.
func (r *eventReader) accept(event []byte) bool {
	id, numbered, data := parseEventID(event)
	if !numbered {
		r.unidentified = r.unidentified || data
		return true
	}
	if r.resumed && r.lastID != "" && !idAfter(r.lastID, id) {
		return false
	}
	r.lastID = id
	r.unidentified = !httpwire.IsVisibleASCII(id)
	return true
}

// resume drops the incomplete event because another runner continues the stream.
func (r *eventReader) resume() {
	r.partial = nil
	r.lineStart = 0
	r.resumed = true
}

// remainder returns the incomplete event at the end of the stream.
func (r *eventReader) remainder() []byte { return r.partial }

// parseEventID returns the id of a complete event; data reports whether it has a data field.
func parseEventID(event []byte) (id string, numbered, data bool) {
	for len(event) > 0 {
		line, rest, _ := bytes.Cut(event, []byte("\n"))
		event = rest
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			id = strings.TrimRight(strings.TrimPrefix(string(value), " "), "\r")
			numbered = true
		}
		data = data || bytes.HasPrefix(line, []byte("data"))
	}
	return id, numbered, data
}

// idAfter reports whether an event id follows another. Ids that are not numbers are only compared for equality.
func idAfter(last, id string) bool {
	lastNumber, lastErr := strconv.ParseInt(last, 10, 64)
	number, err := strconv.ParseInt(id, 10, 64)
	if lastErr != nil || err != nil {
		return id != last
	}
	return number > lastNumber
}

// eventCounter counts the events of a stream that is forwarded without being split.
type eventCounter struct {
	inLine  bool // the current line has bytes
	inEvent bool // the current event has lines
}

// count returns the number of events that end in data.
func (c *eventCounter) count(data []byte) (events int) {
	for _, b := range data {
		switch {
		case b == '\r':
		case b != '\n':
			c.inLine = true
			c.inEvent = true
		case c.inLine:
			c.inLine = false
		case c.inEvent:
			c.inEvent = false
			events++
		}
	}
	return events
}
