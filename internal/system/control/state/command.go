// Package state holds the state machines of the control replicas and the commands that drive them. Partition 0 holds
// the operator's configuration and the evacuated zones, the others hold runners. Commands are decided upon only when they
// are applied, in the order agreed upon, so that every replica comes to the same result and a command that arrives late
// or twice has no effect of its own.
package state

import (
	"encoding/binary"
	"fmt"
)

// commandFormat is the version of the commands' encoding, their first byte.
const commandFormat = 1

// commandKind is the second byte of a command.
type commandKind uint8

// The kinds of command.
const (
	kindCommit     commandKind = 1 + iota // CommitConfiguration
	kindEvacuation                        // SetEvacuation
	kindRunners                           // WriteRunners
)

// DigestSize is the length of a request's digest in bytes.
const DigestSize = 16

// Digest identifies a request of the operator: the same request sent again has the same one.
type Digest [DigestSize]byte

// Write sets or deletes a key.
type Write struct {
	Key     string
	Value   []byte
	Deleted bool
}

// CommitConfiguration puts a version of the configuration in force, if BaseVersion is the one in force.
type CommitConfiguration struct {
	BaseVersion, Version uint64
	Digest               Digest
	Writes               []Write // what differs from BaseVersion, without the version itself
}

// SetEvacuation empties a zone or takes that back, if no such order was agreed on since the proposer looked.
type SetEvacuation struct {
	Zone             string
	Evacuated        bool
	ExpectedRevision uint64 // Evacuation.Seen as the proposer saw it
}

// WriteRunners changes a partition's runners, if none changed since the proposer looked.
type WriteRunners struct {
	ExpectedRevision uint64 // Runners.Changed as the proposer saw it
	Writes           []Write
}

// FormatError says that a command or snapshot can't be read; a replica of an older release may have met a newer one's.
type FormatError struct {
	What   string
	Offset int
}

// Error says what happened and what to do.
func (e *FormatError) Error() string {
	return fmt.Sprintf("state: %s can't be read at byte %d; check that all control machines run the same release",
		e.What, e.Offset)
}

// Encode returns the command's bytes.
func (c *CommitConfiguration) Encode() []byte {
	b := commandHead(kindCommit, writesSize(c.Writes)+DigestSize+2*binary.MaxVarintLen64)
	b = binary.AppendUvarint(b, c.BaseVersion)
	b = binary.AppendUvarint(b, c.Version)
	b = append(b, c.Digest[:]...)
	return appendWrites(b, c.Writes)
}

// Encode returns the command's bytes.
func (c *SetEvacuation) Encode() []byte {
	b := commandHead(kindEvacuation, len(c.Zone)+2*binary.MaxVarintLen64)
	b = binary.AppendUvarint(b, c.ExpectedRevision)
	b = appendFlag(b, c.Evacuated)
	return appendText(b, c.Zone)
}

// Encode returns the command's bytes.
func (c *WriteRunners) Encode() []byte {
	b := commandHead(kindRunners, writesSize(c.Writes)+binary.MaxVarintLen64)
	b = binary.AppendUvarint(b, c.ExpectedRevision)
	return appendWrites(b, c.Writes)
}

// decode reads a command; its writes alias the bytes given.
func decode(b []byte) (any, error) {
	r := reader{bytes: b}
	if r.byte() != commandFormat {
		return nil, &FormatError{What: "a command", Offset: 0}
	}
	command := r.command(commandKind(r.byte()))
	if command == nil || !r.done() {
		return nil, &FormatError{What: "a command", Offset: r.at}
	}
	return command, nil
}

func (r *reader) command(kind commandKind) any {
	switch kind {
	case kindCommit:
		c := &CommitConfiguration{BaseVersion: r.number(), Version: r.number()}
		copy(c.Digest[:], r.take(DigestSize))
		c.Writes = r.writes()
		return c
	case kindEvacuation:
		c := &SetEvacuation{ExpectedRevision: r.number(), Evacuated: r.flag()}
		c.Zone = r.text()
		return c
	case kindRunners:
		return &WriteRunners{ExpectedRevision: r.number(), Writes: r.writes()}
	}
	return nil
}

func commandHead(kind commandKind, size int) []byte {
	return append(make([]byte, 0, size+2), commandFormat, byte(kind))
}

// Outcome says what became of a command.
type Outcome uint8

// The outcomes.
const (
	OutcomeMalformed       Outcome = iota // the command was of a format that is not known; nothing changed
	OutcomeAccepted                       // it is in force
	OutcomeAlreadyAccepted                // the same request was accepted before, or the zone was as wanted
	OutcomeConflict                       // the state had changed since the proposer looked; nothing changed
	OutcomeForgotten                      // whether the request was accepted before is not known any more; nothing changed
)

// Result is what the proposer of a command is told.
type Result struct {
	Outcome Outcome
	// Revision is the version that is in force after a commit, and the change that the partition stands at (as in Seen)
	// after another command.
	Revision uint64
}

// Encode returns the result's bytes.
func (r Result) Encode() []byte {
	return binary.AppendUvarint([]byte{byte(r.Outcome)}, r.Revision)
}

// DecodeResult reads what Apply returned.
func DecodeResult(b []byte) (Result, error) {
	r := reader{bytes: b}
	result := Result{Outcome: Outcome(r.byte()), Revision: r.number()}
	if !r.done() || result.Outcome > OutcomeForgotten {
		return Result{}, &FormatError{What: "a command's result", Offset: r.at}
	}
	return result, nil
}
