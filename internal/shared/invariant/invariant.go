// Package invariant states what must hold: a breach panics in debug builds and is counted in release builds.
package invariant

import "sync/atomic"

var violations atomic.Uint64

// Check notes a breach of what must hold.
func Check(holds bool, description string) {
	if holds {
		return
	}
	violations.Add(1)
	if PanicOnViolation {
		panic("invariant: " + description)
	}
}

// Violations is the number of breaches so far.
func Violations() uint64 { return violations.Load() }
