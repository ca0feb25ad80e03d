// Package answer is the contract between fake runners and fake clients: a checksum ("seal") in a header and numbered
// events, by which a client verifies that it received its own answer complete, unchanged and in order. It also names
// the headers of the protocol.
package answer

import (
	"fmt"
	"hash/crc32"
	"strconv"
	"strings"
)

// Headers of the protocol.
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

// Seal is the checksum header of an answer.
type Seal struct {
	Stream      bool
	Size        int    // bytes of a body, or events of a stream
	Checksum    uint32 // CRC-32 of a body; 0 of a stream
	AttemptID   string
	ExecutionID string // of the execution that produced the answer
}

// String formats the seal as the header's value.
func (s Seal) String() string {
	kind := "b"
	if s.Stream {
		kind = "s"
	}
	return fmt.Sprintf("%s.%d.%08x.%s.%s", kind, s.Size, s.Checksum, s.AttemptID, s.ExecutionID)
}

const sealFields = 5

// ParseSeal parses the header's value.
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
	return Seal{
		Stream:      fields[0] == "s",
		Size:        size,
		Checksum:    uint32(sum),
		AttemptID:   fields[3],
		ExecutionID: fields[4],
	}, nil
}

// Checksum returns the CRC-32 (IEEE) of a body.
func Checksum(body []byte) uint32 { return crc32.ChecksumIEEE(body) }

// CheckBody returns an error if the complete body isn't the sealed answer to the attempt.
func (s Seal) CheckBody(attemptID string, body []byte) error {
	switch {
	case s.AttemptID != attemptID:
		return fmt.Errorf("the answer of attempt %s came for attempt %s", s.AttemptID, attemptID)
	case s.Stream:
		return fmt.Errorf("the seal of a stream came with a body of attempt %s", attemptID)
	case len(body) != s.Size:
		return fmt.Errorf("the body of attempt %s has %d bytes of %d", attemptID, len(body), s.Size)
	case Checksum(body) != s.Checksum:
		return fmt.Errorf("the body of attempt %s was changed", attemptID)
	}
	return nil
}

// Event is one event of a stream.
type Event struct {
	Index, Total int // both count from 1
	ExecutionID  string
}

// Data formats the event's data line.
func (e Event) Data() string { return fmt.Sprintf("%s %d %d", e.ExecutionID, e.Index, e.Total) }

// ParseEvent parses an event's id and data lines.
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
