//go:build debug

package invariant

// Fatal says that a breach panics.
const Fatal = true
