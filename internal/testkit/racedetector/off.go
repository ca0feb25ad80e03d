//go:build !race

package racedetector

// Enabled reports whether this program was built with -race.
const Enabled = false
