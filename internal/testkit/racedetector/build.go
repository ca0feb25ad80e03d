// Package racedetector says whether the tests run under the race detector, so that processes which they start are built
// for it, too: the detector sees only programs that were.
package racedetector

import (
	"os"
	"strings"
)

// BuildFlags returns the flags of go build for a program that a test starts.
func BuildFlags() []string {
	if Enabled {
		return []string{"-race"}
	}
	return nil
}

// HaltPrograms has programs that inherit this process's environment end at their first race.
func HaltPrograms() {
	if Enabled {
		os.Setenv("GORACE", "halt_on_error=1")
	}
}

// FoundIn reports whether a program's standard error contains a race.
func FoundIn(standardError string) bool { return strings.Contains(standardError, "WARNING: DATA RACE") }
