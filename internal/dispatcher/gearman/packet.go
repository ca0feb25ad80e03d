package gearman

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"strings"
)

// Kind is the packet type of the Gearman protocol; the values are its numbers.
type Kind uint32

// The packet types, named as in the protocol.
const (
	CanDo           Kind = 1
	CantDo          Kind = 2
	ResetAbilities  Kind = 3
	PreSleep        Kind = 4
	Noop            Kind = 6
	SubmitJob       Kind = 7
	JobCreated      Kind = 8
	GrabJob         Kind = 9
	NoJob           Kind = 10
	JobAssign       Kind = 11
	WorkStatus      Kind = 12
	WorkComplete    Kind = 13
	WorkFail        Kind = 14
	GetStatus       Kind = 15
	EchoReq         Kind = 16
	EchoRes         Kind = 17
	SubmitJobBg     Kind = 18
	Error           Kind = 19
	StatusRes       Kind = 20
	SubmitJobHigh   Kind = 21
	SetClientID     Kind = 22
	CanDoTimeout    Kind = 23
	AllYours        Kind = 24
	WorkException   Kind = 25
	OptionReq       Kind = 26
	OptionRes       Kind = 27
	WorkData        Kind = 28
	WorkWarning     Kind = 29
	GrabJobUniq     Kind = 30
	JobAssignUniq   Kind = 31
	SubmitJobHighBg Kind = 32
	SubmitJobLow    Kind = 33
	SubmitJobLowBg  Kind = 34
	SubmitJobSched  Kind = 35
	SubmitJobEpoch  Kind = 36
	SubmitReduce    Kind = 37
	SubmitReduceBg  Kind = 38
	GrabJobAll      Kind = 39
	JobAssignAll    Kind = 40
	GetStatusUnique Kind = 41
	StatusResUnique Kind = 42
)

// Layout and limits of packets, in bytes.
const (
	requestMagic  = "\x00REQ"
	responseMagic = "\x00RES"
	headerSize    = 12 // magic, kind and body size, 4 bytes each

	maxNameBytes   = 4 << 10  // of a function name, unique id or handle
	maxDataBytes   = 64 << 10 // of a job's data, and of an attempt's buffered output
	maxPacketBytes = maxDataBytes + 4*maxNameBytes
	maxLineBytes   = 4 << 10 // of the text protocol
)

// Error codes of the ERROR packet, as the reference server spells them.
const (
	codeUnknownFunction = "ERR_UNKNOWN_FUNCTION"
	codeQueueFull       = "ERR_QUEUE_FULL"
	codeBadPacket       = "ERR_BAD_PACKET"
	codeUnknownOption   = "ERR_UNKNOWN_OPTION"
	codeNotSupported    = "ERR_NOT_SUPPORTED"
	codeShuttingDown    = "ERR_SHUTTING_DOWN"
)

// argumentCounts holds the packet types that a server receives, with the number of their arguments. The last argument
// may contain any byte, NUL too.
var argumentCounts = map[Kind]int{
	CanDo:           1,
	CantDo:          1,
	ResetAbilities:  0,
	PreSleep:        0,
	SubmitJob:       3,
	GrabJob:         0,
	WorkStatus:      3,
	WorkComplete:    2,
	WorkFail:        1,
	GetStatus:       1,
	EchoReq:         1,
	SubmitJobBg:     3,
	SubmitJobHigh:   3,
	SetClientID:     1,
	CanDoTimeout:    2,
	AllYours:        0,
	WorkException:   2,
	OptionReq:       1,
	WorkData:        2,
	WorkWarning:     2,
	GrabJobUniq:     0,
	SubmitJobHighBg: 3,
	SubmitJobLow:    3,
	SubmitJobLowBg:  3,
	SubmitJobSched:  8,
	SubmitJobEpoch:  4,
	SubmitReduce:    4,
	SubmitReduceBg:  4,
	GrabJobAll:      0,
	GetStatusUnique: 1,
}

// ErrIncomplete is returned while the buffer holds only a prefix of a packet or line: call again with more bytes.
var ErrIncomplete = errors.New("gearman: incomplete packet")

// PacketError says that a packet or line is malformed. Its text is sent to the peer.
type PacketError struct {
	Kind   Kind // of the packet; 0: not known
	Reason string
}

// Error names what is wrong, and the packet's type if it is known.
func (e *PacketError) Error() string {
	if e.Kind == 0 {
		return "gearman: " + e.Reason
	}
	return fmt.Sprintf("gearman: packet type %d %s", e.Kind, e.Reason)
}

// Packet is one request to the server, with as many arguments as its kind has.
type Packet struct {
	Kind Kind
	Args []string
}

// Parse reads one request packet from the start of b and returns the number of bytes it takes up. It returns
// ErrIncomplete if more bytes are needed. After any other error, a *PacketError, the stream has lost its framing: close the
// connection.
func Parse(b []byte) (packet Packet, n int, err error) {
	if len(b) < headerSize {
		if !bytes.HasPrefix([]byte(requestMagic), b[:min(len(b), 4)]) && !bytes.HasPrefix(b, []byte(requestMagic)) {
			return packet, 0, &PacketError{Reason: "bad magic"}
		}
		return packet, 0, ErrIncomplete
	}
	if string(b[:4]) != requestMagic {
		return packet, 0, &PacketError{Reason: "bad magic"}
	}
	packet.Kind = Kind(binary.BigEndian.Uint32(b[4:]))
	wantArgs, known := argumentCounts[packet.Kind]
	if !known {
		return packet, 0, &PacketError{packet.Kind, "is none that a server gets"}
	}
	size := binary.BigEndian.Uint32(b[8:])
	if size > maxPacketBytes {
		return packet, 0, &PacketError{Reason: fmt.Sprintf("packet of %d bytes", size)}
	}
	n = headerSize + int(size)
	if len(b) < n {
		return packet, 0, ErrIncomplete
	}
	body := string(b[headerSize:n])
	if wantArgs == 0 {
		if body != "" {
			return packet, 0, &PacketError{packet.Kind, "takes no argument"}
		}
		return packet, n, nil
	}
	packet.Args = strings.SplitN(body, "\x00", wantArgs)
	if len(packet.Args) != wantArgs {
		return packet, 0, &PacketError{packet.Kind, fmt.Sprintf("has %d arguments, wants %d", len(packet.Args), wantArgs)}
	}
	for i, arg := range packet.Args {
		limit := maxNameBytes
		if i == wantArgs-1 {
			limit = maxDataBytes
		}
		if len(arg) > limit {
			return packet, 0, &PacketError{packet.Kind, fmt.Sprintf("has argument %d, which is too long", i)}
		}
	}
	switch packet.Kind {
	case CanDo, CantDo, CanDoTimeout, SubmitJob, SubmitJobBg, SubmitJobHigh, SubmitJobHighBg, SubmitJobLow, SubmitJobLowBg, SubmitJobEpoch:
		if packet.Args[0] == "" || strings.ContainsAny(packet.Args[0], "\x00\n\t") {
			return packet, 0, &PacketError{packet.Kind, "names no function"}
		}
	}
	return packet, n, nil
}

// Append appends a response packet to b.
func Append(b []byte, kind Kind, args ...string) []byte {
	return appendPacket(b, responseMagic, kind, args)
}

// AppendRequest appends a request packet to b, as clients and workers send it.
func AppendRequest(b []byte, kind Kind, args ...string) []byte {
	return appendPacket(b, requestMagic, kind, args)
}

func appendPacket(b []byte, magic string, kind Kind, args []string) []byte {
	size := max(0, len(args)-1)
	for _, arg := range args {
		size += len(arg)
	}
	b = append(b, magic...)
	b = binary.BigEndian.AppendUint32(b, uint32(kind))
	b = binary.BigEndian.AppendUint32(b, uint32(size))
	return append(b, strings.Join(args, "\x00")...)
}

// ParseLine splits one line of the administrators' text protocol into words and returns the number of bytes it takes
// up. It returns ErrIncomplete if the line's end has not arrived; any other error, a *PacketError, is final.
func ParseLine(b []byte) (words []string, n int, err error) {
	end := bytes.IndexByte(b, '\n')
	if end < 0 {
		if len(b) > maxLineBytes {
			return nil, 0, &PacketError{Reason: "line too long"}
		}
		return nil, 0, ErrIncomplete
	}
	return strings.Fields(string(b[:end])), end + 1, nil
}
