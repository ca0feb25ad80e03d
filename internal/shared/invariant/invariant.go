// Package invariant checks conditions that must always hold. A violation panics in builds with the tag debug and is
// counted in others. It is for bugs in this program, not for invalid input.
package invariant

import "sync/atomic"

var violations atomic.Uint64

// Check records a violation if the condition does not hold; description says what should be true. It may be called from
// any goroutine.
func Check(holds bool, description string) {
	if holds {
		return
	}
	violations.Add(1)
	if PanicOnViolation {
		panic("invariant: " + description)
	}
}

// Violations returns the number of violations since the start of the process.
func Violations() uint64 { return violations.Load() }
