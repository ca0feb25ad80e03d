// Package answer is what stand-ins for runners put into their answers so that stand-ins for clients can tell whether
// they got them whole, unchanged and in order: a seal in a header, and the data of events.
package answer

import (
	"fmt"
	"hash/crc32"
	"strconv"
	"strings"
)

// Names of headers of the protocol.
const (
	TryID        = "X-Try-Id"
	SealHeader   = "X-Server-Seal"
	WantedServer = "X-Wanted-Server"
	ServerID     = "X-Server-Id"
	NotRun       = "X-Not-Run"
	TimeLeft     = "X-Time-Left-Ms"
	ColdLeft     = "X-Cold-Ms"
	Model        = "X-Model"
	TokenCounts  = "X-Token-Counts"
	PromptStart  = "X-Prompt-Start"
	Priority     = "Priority"
	LastEventID  = "Last-Event-Id"
	Versions     = "Versions"
	Version      = "Expect-Version"
)

// Seal vouches for an answer.
type Seal struct {
	Stream bool
	Size   int    // bytes of the body, or events of the stream
	Sum    uint32 // of a body that is not a stream
	Try    string
	Run    string // that the answer comes from
}

// String is the seal as it stands in the header.
func (s Seal) String() string {
	kind := "b"
	if s.Stream {
		kind = "s"
	}
	return fmt.Sprintf("%s.%d.%08x.%s.%s", kind, s.Size, s.Sum, s.Try, s.Run)
}

const sealFields = 5

// ParseSeal reads a seal.
func ParseSeal(text string) (Seal, error) {
	fields := strings.Split(text, ".")
	if len(fields) != sealFields || fields[0] != "b" && fields[0] != "s" {
		return Seal{}, fmt.Errorf("seal %q is not one of a runner's", text)
	}
	size, err := strconv.Atoi(fields[1])
	if err != nil {
		return Seal{}, fmt.Errorf("seal %q: size: %w", text, err)
	}
	sum, err := strconv.ParseUint(fields[2], 16, 32)
	if err != nil {
		return Seal{}, fmt.Errorf("seal %q: sum: %w", text, err)
	}
	return Seal{Stream: fields[0] == "s", Size: size, Sum: uint32(sum), Try: fields[3], Run: fields[4]}, nil
}

// Sum is the sum of a body.
func Sum(body []byte) uint32 { return crc32.ChecksumIEEE(body) }

// CheckBody says what is wrong with a whole body.
func (s Seal) CheckBody(try string, body []byte) error {
	switch {
	case s.Try != try:
		return fmt.Errorf("the answer of try %s came for try %s", s.Try, try)
	case s.Stream:
		return fmt.Errorf("the seal of a stream came with a body of try %s", try)
	case len(body) != s.Size:
		return fmt.Errorf("the body of try %s has %d bytes of %d", try, len(body), s.Size)
	case Sum(body) != s.Sum:
		return fmt.Errorf("the body of try %s was changed", try)
	}
	return nil
}

// Event is a piece of a stream.
type Event struct {
	Index, Of int // from 1
	Run       string
}

// Data is what stands in the event's data line.
func (e Event) Data() string { return fmt.Sprintf("%s %d %d", e.Run, e.Index, e.Of) }

// ParseEvent reads an event by its id and data lines.
func ParseEvent(id, data string) (Event, error) {
	var e Event
	if _, err := fmt.Sscanf(data, "%s %d %d", &e.Run, &e.Index, &e.Of); err != nil {
		return Event{}, fmt.Errorf("event data %q is not a runner's: %w", data, err)
	}
	if id != strconv.Itoa(e.Index) {
		return Event{}, fmt.Errorf("event %d has id %q", e.Index, id)
	}
	return e, nil
}
