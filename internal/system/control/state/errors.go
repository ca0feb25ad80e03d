package state

import (
	"fmt"

	"cinderroad/internal/shared/codec"
)

// FormatError says that a command, a result or a snapshot cannot be decoded. Usually it was written by a newer release.
type FormatError struct {
	What   string // what was decoded
	Offset int    // of the first malformed field, in bytes
}

// Error says what failed and what an operator can check.
func (e *FormatError) Error() string {
	return fmt.Sprintf("state: %s can't be read at byte %d; check that all control machines run the same release",
		e.What, e.Offset)
}

// checkDecoded returns a *FormatError unless the reader has read the whole encoding without a malformed field.
func checkDecoded(reader *codec.Reader, what string) error {
	reader.ExpectEnd("end")
	if _, failed := reader.Malformed(); failed {
		return &FormatError{What: what, Offset: reader.Offset()}
	}
	return nil
}
