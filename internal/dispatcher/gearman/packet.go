// Package gearman speaks the public Gearman protocol, the clients' side, the workers' side and the text
// commands of administrators, on the same core as the platform's protocol. The parsers are pure functions.
package gearman

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"strings"
)

// Kind is the type of a packet.
type Kind uint32

// The packets of the protocol.
const (
	CanDo               Kind = 1
	CantDo              Kind = 2
	ResetAbilities      Kind = 3
	PreSleep            Kind = 4
	Noop                Kind = 6
	SubmitJob           Kind = 7
	JobCreated          Kind = 8
	GrabJob             Kind = 9
	NoJob               Kind = 10
	JobAssign           Kind = 11
	WorkStatus          Kind = 12
	WorkComplete        Kind = 13
	WorkFail            Kind = 14
	GetStatus           Kind = 15
	EchoReq             Kind = 16
	EchoRes             Kind = 17
	SubmitJobBg         Kind = 18
	Error               Kind = 19
	StatusRes           Kind = 20
	SubmitJobHigh       Kind = 21
	SetClientID         Kind = 22
	CanDoTimeout        Kind = 23
	AllYours            Kind = 24
	WorkException       Kind = 25
	OptionReq           Kind = 26
	OptionRes           Kind = 27
	WorkData            Kind = 28
	WorkWarning         Kind = 29
	GrabJobUniq         Kind = 30
	JobAssignUniq       Kind = 31
	SubmitJobHighBg     Kind = 32
	SubmitJobLow        Kind = 33
	SubmitJobLowBg      Kind = 34
	SubmitJobSched      Kind = 35
	SubmitJobEpoch      Kind = 36
	SubmitReduce        Kind = 37
	SubmitReduceBg      Kind = 38
	GrabJobAll          Kind = 39
	JobAssignAll        Kind = 40
	GetStatusUnique     Kind = 41
	StatusResUnique     Kind = 42
	headerSize               = 12
	maxNameBytes             = 4 << 10  // of a function, unique id or handle
	maxDataBytes             = 64 << 10 // of a job or result
	maxPacketBytes           = maxDataBytes + 4*maxNameBytes
	maxLineBytes             = 4 << 10
	requestMagic             = "\x00REQ"
	responseMagic            = "\x00RES"
	codeLostJob              = "ERR_LOST_JOB"
	codeUnknownFunction      = "ERR_UNKNOWN_FUNCTION"
	codeQueueFull            = "ERR_QUEUE_FULL"
	codeBadPacket            = "ERR_BAD_PACKET"
	codeUnknownOption        = "ERR_UNKNOWN_OPTION"
	codeNotSupported         = "ERR_NOT_SUPPORTED"
	codeShuttingDown         = "ERR_SHUTTING_DOWN"
)

const (
	maxUnsentBytes  = 1 << 20 // bytes that may wait for a peer that does not read
	minRequeueDelay = 0.05    // seconds before a refused job in the background comes back
)

// argumentCounts is how many arguments the packets have that a server gets; the last one may hold any byte.
var argumentCounts = map[Kind]int{CanDo: 1, CantDo: 1, ResetAbilities: 0, PreSleep: 0, SubmitJob: 3, GrabJob: 0,
	WorkStatus: 3, WorkComplete: 2, WorkFail: 1, GetStatus: 1, EchoReq: 1, SubmitJobBg: 3, SubmitJobHigh: 3,
	SetClientID: 1, CanDoTimeout: 2, AllYours: 0, WorkException: 2, OptionReq: 1, WorkData: 2, WorkWarning: 2,
	GrabJobUniq: 0, SubmitJobHighBg: 3, SubmitJobLow: 3, SubmitJobLowBg: 3, SubmitJobSched: 8, SubmitJobEpoch: 4,
	SubmitReduce: 4, SubmitReduceBg: 4, GrabJobAll: 0, GetStatusUnique: 1}

// ErrIncomplete says that the packet is not whole yet.
var ErrIncomplete = errors.New("gearman: packet not whole")

// Packet is one request to the server.
type Packet struct {
	Kind Kind
	Args []string
}

// Parse reads one request packet from the start of b and tells how many bytes it took; ErrIncomplete asks for more.
// Any other error is final: after it the stream cannot be read on.
func Parse(b []byte) (packet Packet, n int, err error) {
	if len(b) < headerSize {
		if !bytes.HasPrefix([]byte(requestMagic), b[:min(len(b), 4)]) && !bytes.HasPrefix(b, []byte(requestMagic)) {
			return packet, 0, errors.New("gearman: bad magic")
		}
		return packet, 0, ErrIncomplete
	}
	if string(b[:4]) != requestMagic {
		return packet, 0, errors.New("gearman: bad magic")
	}
	packet.Kind = Kind(binary.BigEndian.Uint32(b[4:]))
	wantArgs, known := argumentCounts[packet.Kind]
	if !known {
		return packet, 0, fmt.Errorf("gearman: packet type %d is none that a server gets", packet.Kind)
	}
	size := binary.BigEndian.Uint32(b[8:])
	if size > maxPacketBytes {
		return packet, 0, fmt.Errorf("gearman: packet of %d bytes", size)
	}
	n = headerSize + int(size)
	if len(b) < n {
		return packet, 0, ErrIncomplete
	}
	body := string(b[headerSize:n])
	if wantArgs == 0 {
		if body != "" {
			return packet, 0, fmt.Errorf("gearman: packet type %d takes no argument", packet.Kind)
		}
		return packet, n, nil
	}
	packet.Args = strings.SplitN(body, "\x00", wantArgs)
	if len(packet.Args) != wantArgs {
		return packet, 0, fmt.Errorf("gearman: packet type %d has %d arguments, wants %d", packet.Kind, len(packet.Args), wantArgs)
	}
	for i, arg := range packet.Args {
		limit := maxNameBytes
		if i == wantArgs-1 {
			limit = maxDataBytes
		}
		if len(arg) > limit {
			return packet, 0, fmt.Errorf("gearman: argument %d of packet type %d is too long", i, packet.Kind)
		}
	}
	switch packet.Kind {
	case CanDo, CantDo, CanDoTimeout, SubmitJob, SubmitJobBg, SubmitJobHigh, SubmitJobHighBg, SubmitJobLow, SubmitJobLowBg, SubmitJobEpoch:
		if packet.Args[0] == "" || strings.ContainsAny(packet.Args[0], "\x00\n\t") {
			return packet, 0, fmt.Errorf("gearman: packet type %d names no function", packet.Kind)
		}
	}
	return packet, n, nil
}

// Append writes a response packet.
func Append(b []byte, kind Kind, args ...string) []byte {
	return appendPacket(b, responseMagic, kind, args)
}

// AppendRequest writes a request packet, as clients and workers do.
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

// ParseLine reads one text command of an administrator; ErrIncomplete asks for more.
func ParseLine(b []byte) (words []string, n int, err error) {
	end := bytes.IndexByte(b, '\n')
	if end < 0 {
		if len(b) > maxLineBytes {
			return nil, 0, errors.New("gearman: line too long")
		}
		return nil, 0, ErrIncomplete
	}
	return strings.Fields(string(b[:end])), end + 1, nil
}
