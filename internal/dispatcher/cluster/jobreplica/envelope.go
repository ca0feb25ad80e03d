package jobreplica

import (
	"encoding/binary"
	"errors"
	"fmt"

	"cinderroad/internal/system/consensus"
)

// envelopeKind is what a message between replicas carries; its first byte on the wire.
type envelopeKind uint8

const (
	// kindConsensus is followed by a message of the consensus.
	kindConsensus envelopeKind = iota
	// kindPropose is followed by the sender, the receiver, and the length of a command and the command, which the receiver
	// proposes if it leads.
	kindPropose
	// kindReplaced is followed by the sender, the receiver and the sender's applied index. It tells an incarnation that stands
	// for election that it is no longer a member: it was replaced while it was partitioned.
	kindReplaced
)

const (
	kindBytes           = 1
	idBytes             = 8
	lengthBytes         = 4
	envelopeHeaderBytes = kindBytes + 2*idBytes // of all kinds but kindConsensus
)

var errMalformedEnvelope = errors.New("job replica: malformed message")

// envelope is a message between replicas.
type envelope struct {
	kind         envelopeKind
	from, to     uint64
	appliedIndex uint64            // of kindReplaced
	command      []byte            // of kindPropose
	message      consensus.Message // of kindConsensus
}

// send queues a message from this member.
func (r *Replica) send(message *envelope) {
	message.from = r.options.Self.ID
	r.outgoing = append(r.outgoing, Outgoing{message.to, message.encode()})
}

// encode returns the message as it is sent.
func (e *envelope) encode() []byte {
	if e.kind == kindConsensus {
		return consensus.AppendMessage([]byte{byte(kindConsensus)}, e.message)
	}
	b := make([]byte, 0, envelopeHeaderBytes+max(lengthBytes+len(e.command), idBytes))
	b = append(b, byte(e.kind))
	b = binary.LittleEndian.AppendUint64(b, e.from)
	b = binary.LittleEndian.AppendUint64(b, e.to)
	if e.kind == kindReplaced {
		return binary.LittleEndian.AppendUint64(b, e.appliedIndex)
	}
	b = binary.LittleEndian.AppendUint32(b, uint32(len(e.command)))
	return append(b, e.command...)
}

// decodeEnvelope is the inverse of encode. A command shares the memory of data.
func decodeEnvelope(data []byte) (*envelope, error) {
	if len(data) < kindBytes || envelopeKind(data[0]) > kindReplaced {
		return nil, errMalformedEnvelope
	}
	decoded := &envelope{kind: envelopeKind(data[0])}
	if decoded.kind == kindConsensus {
		return decoded, decoded.decodeConsensus(data[kindBytes:])
	}
	if len(data) < envelopeHeaderBytes {
		return nil, errMalformedEnvelope
	}
	decoded.from = binary.LittleEndian.Uint64(data[kindBytes:])
	decoded.to = binary.LittleEndian.Uint64(data[kindBytes+idBytes:])
	rest := data[envelopeHeaderBytes:]
	if decoded.kind == kindPropose {
		return decoded, decoded.decodeCommand(rest)
	}
	if len(rest) != idBytes {
		return nil, errMalformedEnvelope
	}
	decoded.appliedIndex = binary.LittleEndian.Uint64(rest)
	return decoded, nil
}

func (e *envelope) decodeCommand(data []byte) error {
	if len(data) < lengthBytes || uint64(binary.LittleEndian.Uint32(data)) != uint64(len(data)-lengthBytes) {
		return errMalformedEnvelope
	}
	e.command = data[lengthBytes:]
	return nil
}

func (e *envelope) decodeConsensus(data []byte) (err error) {
	e.message, err = consensus.DecodeMessage(data)
	if err != nil {
		return fmt.Errorf("%w: %w", errMalformedEnvelope, err)
	}
	e.from = uint64(e.message.From)
	e.to = uint64(e.message.To)
	return nil
}
