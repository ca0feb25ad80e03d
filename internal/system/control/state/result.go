package state

import (
	"encoding/binary"

	"cinderroad/internal/shared/codec"
)

// Outcome says what became of a command. The values are part of the encoding of results.
type Outcome uint8

// The outcomes. Only OutcomeAccepted changes keys.
const (
	OutcomeMalformed       Outcome = iota // the command's format or kind is unknown here
	OutcomeAccepted                       // it took effect
	OutcomeAlreadyAccepted                // the same request was accepted before, or the zone was as ordered
	OutcomeConflict                       // the state had changed since the proposer read it
	OutcomeForgotten                      // it is no longer known whether the same request was accepted before
)

// Result is returned to the proposer of a command.
type Result struct {
	Outcome Outcome
	// Revision is the current version of the configuration after a CommitConfiguration, or the version that the same
	// request got before; after another command, the revision that the next one has to expect.
	Revision uint64
}

// Encode returns the bytes that Apply returns.
func (r Result) Encode() []byte {
	return binary.AppendUvarint([]byte{byte(r.Outcome)}, r.Revision)
}

// DecodeResult reads what Apply returned. The error is a *FormatError.
func DecodeResult(data []byte) (Result, error) {
	reader := codec.NewCanonicalReader(data)
	result := Result{Outcome: Outcome(reader.Byte("outcome")), Revision: reader.Uvarint("revision")}
	if result.Outcome > OutcomeForgotten {
		reader.Fail("outcome")
	}
	if err := checkDecoded(&reader, "a command's result"); err != nil {
		return Result{}, err
	}
	return result, nil
}
