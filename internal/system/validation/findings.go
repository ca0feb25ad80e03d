// Package findings collects what is wrong with a document, each finding with its place, so that all of them can be
// reported together.
package validation

import (
	"errors"
	"strconv"
	"strings"
)

// maxKept is how many findings a list keeps; further ones are only counted, so that a hostile document costs little.
const maxKept = 100

// NoOffset is the offset of a finding that belongs to no byte of the document.
const NoOffset = -1

// Problem is one thing that is wrong.
type Problem struct {
	Path    string // such as routes[3].timeout_ms; empty: the document as a whole
	Offset  int    // of the first byte of the value in the document, or NoOffset
	Message string // what is wrong and what was expected
}

// String is the finding on one line.
func (f Problem) String() string {
	var line strings.Builder
	line.WriteString(f.Path)
	if f.Path == "" {
		line.WriteString("document")
	}
	if f.Offset >= 0 {
		line.WriteString(" (byte ")
		line.WriteString(strconv.Itoa(f.Offset))
		line.WriteString(")")
	}
	line.WriteString(": ")
	line.WriteString(f.Message)
	return line.String()
}

// Error holds the findings of a document, at least one.
type Error struct {
	Problems []Problem
	Omitted  int // findings beyond those that were kept
}

// Error is all findings on one line.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Problems)+1)
	for _, finding := range e.Problems {
		lines = append(lines, finding.String())
	}
	if e.Omitted > 0 {
		lines = append(lines, "and "+strconv.Itoa(e.Omitted)+" more")
	}
	return strings.Join(lines, "; ")
}

// Problems collects findings. The zero value is an empty list. It is not safe for concurrent use.
type Problems struct {
	found   []Problem
	omitted int
}

// Add notes a problem at a place.
func (l *Problems) Add(place, problem string) { l.AddAt(place, NoOffset, problem) }

// AddAt notes a problem at a place and byte offset of the document.
func (l *Problems) AddAt(place string, offset int, problem string) {
	if len(l.found) >= maxKept {
		l.omitted++
		return
	}
	l.found = append(l.found, Problem{Path: place, Offset: offset, Message: problem})
}

// AddError takes over the findings of an error; one that holds none is noted as a problem of the whole document.
func (l *Problems) AddError(err error) {
	if err == nil {
		return
	}
	var found *Error
	if !errors.As(err, &found) {
		l.Add("", err.Error())
		return
	}
	for _, finding := range found.Problems {
		l.AddAt(finding.Path, finding.Offset, finding.Message)
	}
	l.omitted += found.Omitted
}

// Len is how many problems were noted.
func (l *Problems) Len() int { return len(l.found) + l.omitted }

// Err is an *Error with the findings in the order in which they were noted, or nil if there are none.
func (l *Problems) Err() error {
	if len(l.found) == 0 {
		return nil
	}
	return &Error{Problems: l.found, Omitted: l.omitted}
}
