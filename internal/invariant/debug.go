//go:build debug

package invariant

const fatal = true
