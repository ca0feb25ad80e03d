//go:build debug

package invariant

// PanicOnViolation says that a breach panics.
const PanicOnViolation = true
