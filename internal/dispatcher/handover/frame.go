package handover

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// Version is the version of the frames and their bodies.
const Version = 1

// Format of a frame: magic, version, kind, length of the body, body.
const (
	magic       = 'R'
	headerSize  = 7
	maxBody     = 9 << 20 // bytes; State holds the full member list
	lengthSize  = 4       // bytes of the length before the header of a frame with a descriptor
	queryIDSize = 8       // bytes of the ID at the start of queries and answers
	maxQueries  = 4096    // that wait for their answer
)

// Kind is the kind of a frame.
type Kind uint8

// The kinds of frames. Hello, State, Takeover and the Sessions follow each other in this order. CallbackQuery and Order are
// queries, which either process may send: each gets one Answer.
const (
	Hello           Kind = iota + 1 // the newer process requests the state
	State                           // the older one's state, perhaps with a descriptor
	Takeover                        // the newer process accepts clients from now on
	Session                         // a client session, with its descriptor
	SessionReceived                 // acknowledges one Session
	CallbackQuery                   // asks whether the other process knows the call of a callback
	Order                           // asks the other process to carry out an operator's order
	Answer                          // the ID of the query, then one byte for yes and nothing for no
	Metrics                         // the older one's metrics, for a newer one that requested them in Hello
	lastKind
)

// Errors of ParseFrame: errIncomplete asks for more bytes; errVersion is final, as are those without a name.
var (
	errIncomplete = errors.New("handover: incomplete frame")
	errVersion    = errors.New("handover: another version")
)

// FrameError says that a frame is malformed: the other process runs an incompatible release, or is none of this program.
type FrameError struct {
	Kind   Kind // 0: not known
	Reason string
}

// Error names what is wrong, and the frame's kind if it is known.
func (e *FrameError) Error() string {
	if e.Kind == 0 {
		return "handover: " + e.Reason
	}
	return fmt.Sprintf("handover: frame of kind %d: %s", e.Kind, e.Reason)
}

// AppendFrame appends a frame to b.
func AppendFrame(b []byte, kind Kind, body []byte) []byte {
	b = append(b, magic, Version, byte(kind))
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)))
	return append(b, body...)
}

// ParseFrame reads one frame from the start of b and returns how many bytes it took. The body aliases b.
func ParseFrame(b []byte) (kind Kind, body []byte, size int, err error) {
	if len(b) > 0 && b[0] != magic {
		return 0, nil, 0, &FrameError{Reason: "no frame"}
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
		return 0, nil, 0, &FrameError{Reason: fmt.Sprintf("kind %d of frame", kind)}
	case bodySize > maxBody:
		return 0, nil, 0, &FrameError{Kind: kind, Reason: fmt.Sprintf("frame of %d bytes", bodySize)}
	case len(b)-headerSize < int(bodySize):
		return 0, nil, 0, errIncomplete
	}
	size = headerSize + int(bodySize)
	return kind, b[headerSize:size], size, nil
}
