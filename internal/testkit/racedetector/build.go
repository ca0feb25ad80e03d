package racedetector

import "strings"

// BuildFlags returns the flags of go build for a program that a test starts.
func BuildFlags() []string {
	if Enabled {
		return []string{"-race"}
	}
	return nil
}

// Environment returns the variables for a program that a test starts: it ends at the first race.
func Environment() []string {
	if Enabled {
		return []string{"GORACE=halt_on_error=1"}
	}
	return nil
}

// FoundIn reports whether a program's standard error contains a race.
func FoundIn(standardError string) bool { return strings.Contains(standardError, "WARNING: DATA RACE") }
