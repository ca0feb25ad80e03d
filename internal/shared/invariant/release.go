//go:build !debug

package invariant

// PanicOnViolation is whether a violation panics.
const PanicOnViolation = false
