//go:build !race

// Package racedetector says whether the tests run under the race detector, so that processes which they start are built
// for it, too: the detector sees only programs that were.
package racedetector

// Enabled reports whether this program was built with -race.
const Enabled = false
