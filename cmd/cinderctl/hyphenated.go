package main

import (
	"regexp"
	"slices"
	"strings"
)

// hyphenMark stands before an argument that is a value although it begins with a hyphen. The arguments of a process never
// hold this byte.
const hyphenMark = "\x00"

// hyphenated is an argument, or the value of a flag, that may be a negative number.
type hyphenated string

// UnmarshalText implements encoding.TextUnmarshaler.
func (h *hyphenated) UnmarshalText(text []byte) error {
	*h = hyphenated(strings.TrimPrefix(string(text), hyphenMark))
	return nil
}

var negativeNumber = regexp.MustCompile(`^-[0-9]+$`)

// markNegativeNumbers marks the negative numbers among the arguments of the commands about counters, which the parser would
// take for flags. After "--" it takes nothing for a flag.
func markNegativeNumbers(arguments []string) []string {
	if !slices.Contains(arguments, counterCommandName) {
		return arguments
	}
	marked := slices.Clone(arguments)
	for i, argument := range arguments {
		if argument == "--" {
			break
		}
		if negativeNumber.MatchString(argument) {
			marked[i] = hyphenMark + argument
		}
	}
	return marked
}
