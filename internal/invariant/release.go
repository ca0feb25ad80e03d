//go:build !debug

package invariant

const fatal = false
