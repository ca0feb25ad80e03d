package jobreplica

import (
	"encoding/binary"
	"errors"
	"fmt"

	"cinderroad/internal/system/consensus"
)

// kind says what a message between copies is, in its first byte.
type kind uint8

const (
	// kindAgreement is followed by a message of the agreement.
	kindAgreement kind = iota
	// kindPropose is followed by who sends it, to whom, and a command with its length, which the receiver proposes if it
	// leads.
	kindPropose
	// kindGone is followed by who sends it, to whom, and how far the sender has applied the log. It tells a life that
	// stands for election that it is no copy any more: it was replaced while it could not hear.
	kindGone
)

const (
	kindBytes = 1
	idBytes   = 8
	sizeBytes = 4
	headLong  = kindBytes + 2*idBytes // of what is not the agreement's
)

var errMessage = errors.New("copies: a broken message")

// envelope is a message between copies.
type envelope struct {
	kind     kind
	from, to uint64
	index    uint64            // of kindGone
	command  []byte            // of kindPropose
	message  consensus.Message // of kindAgreement
}

func (c *Copy) send(e *envelope) {
	e.from = c.o.Me.ID
	c.out = append(c.out, Outgoing{e.to, e.encode()})
}

func (e *envelope) encode() []byte {
	if e.kind == kindAgreement {
		return consensus.AppendMessage([]byte{byte(kindAgreement)}, e.message)
	}
	b := make([]byte, 0, headLong+max(sizeBytes+len(e.command), idBytes))
	b = append(b, byte(e.kind))
	b = binary.LittleEndian.AppendUint64(b, e.from)
	b = binary.LittleEndian.AppendUint64(b, e.to)
	if e.kind == kindGone {
		return binary.LittleEndian.AppendUint64(b, e.index)
	}
	b = binary.LittleEndian.AppendUint32(b, uint32(len(e.command)))
	return append(b, e.command...)
}

// open reads what encode wrote; a command shares the memory of data.
func open(data []byte) (*envelope, error) {
	if len(data) < kindBytes || kind(data[0]) > kindGone {
		return nil, errMessage
	}
	e := &envelope{kind: kind(data[0])}
	if e.kind == kindAgreement {
		return e, e.openAgreement(data[kindBytes:])
	}
	if len(data) < headLong {
		return nil, errMessage
	}
	e.from = binary.LittleEndian.Uint64(data[kindBytes:])
	e.to = binary.LittleEndian.Uint64(data[kindBytes+idBytes:])
	rest := data[headLong:]
	if e.kind == kindPropose {
		return e, e.openCommand(rest)
	}
	if len(rest) != idBytes {
		return nil, errMessage
	}
	e.index = binary.LittleEndian.Uint64(rest)
	return e, nil
}

func (e *envelope) openCommand(data []byte) error {
	if len(data) < sizeBytes || uint64(binary.LittleEndian.Uint32(data)) != uint64(len(data)-sizeBytes) {
		return errMessage
	}
	e.command = data[sizeBytes:]
	return nil
}

func (e *envelope) openAgreement(data []byte) (err error) {
	e.message, err = consensus.DecodeMessage(data)
	if err != nil {
		return fmt.Errorf("%w: %w", errMessage, err)
	}
	e.from, e.to = uint64(e.message.From), uint64(e.message.To)
	return nil
}
