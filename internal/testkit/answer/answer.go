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
	HeaderAttemptID     = "X-Try-Id"
	HeaderSeal          = "X-Server-Seal"
	HeaderWantedServer  = "X-Wanted-Server"
	HeaderServerID      = "X-Server-Id"
	HeaderNotRun        = "X-Not-Run"
	HeaderTimeLeft      = "X-Time-Left-Ms"
	HeaderSlowStart     = "X-Cold-Ms"
	HeaderModel         = "X-Model"
	HeaderTokenCounts   = "X-Token-Counts"
	HeaderPromptChunks  = "X-Prompt-Start"
	HeaderPriority      = "Priority"
	HeaderLastEventID   = "Last-Event-Id"
	HeaderVersions      = "Versions"
	HeaderExpectVersion = "Expect-Version"
)

// Seal vouches for an answer.
type Seal struct {
	Stream      bool
	Size        int    // bytes of the body, or events of the stream
	Checksum    uint32 // of a body that is not a stream
	AttemptID   string
	ExecutionID string // that the answer comes from
}

// String is the seal as it stands in the header.
func (s Seal) String() string {
	kind := "b"
	if s.Stream {
		kind = "s"
	}
	return fmt.Sprintf("%s.%d.%08x.%s.%s", kind, s.Size, s.Checksum, s.AttemptID, s.ExecutionID)
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
	return Seal{Stream: fields[0] == "s", Size: size, Checksum: uint32(sum), AttemptID: fields[3], ExecutionID: fields[4]}, nil
}

// Checksum is the sum of a body.
func Checksum(body []byte) uint32 { return crc32.ChecksumIEEE(body) }

// CheckBody says what is wrong with a whole body.
func (s Seal) CheckBody(attemptID string, body []byte) error {
	switch {
	case s.AttemptID != attemptID:
		return fmt.Errorf("the answer of try %s came for try %s", s.AttemptID, attemptID)
	case s.Stream:
		return fmt.Errorf("the seal of a stream came with a body of try %s", attemptID)
	case len(body) != s.Size:
		return fmt.Errorf("the body of try %s has %d bytes of %d", attemptID, len(body), s.Size)
	case Checksum(body) != s.Checksum:
		return fmt.Errorf("the body of try %s was changed", attemptID)
	}
	return nil
}

// Event is a piece of a stream.
type Event struct {
	Index, Total int // from 1
	ExecutionID  string
}

// Data is what stands in the event's data line.
func (e Event) Data() string { return fmt.Sprintf("%s %d %d", e.ExecutionID, e.Index, e.Total) }

// ParseEvent reads an event by its id and data lines.
func ParseEvent(id, data string) (Event, error) {
	var e Event
	if _, err := fmt.Sscanf(data, "%s %d %d", &e.ExecutionID, &e.Index, &e.Total); err != nil {
		return Event{}, fmt.Errorf("event data %q is not a runner's: %w", data, err)
	}
	if id != strconv.Itoa(e.Index) {
		return Event{}, fmt.Errorf("event %d has id %q", e.Index, id)
	}
	return e, nil
}
