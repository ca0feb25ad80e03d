// Package findings collects what is wrong with a document, each finding with its place, so that all of them can be
// reported together.
package validation

import (
	"errors"
	"strconv"
	"strings"
)

// maxProblems is how many findings a list keeps; further ones are only counted, so that a hostile document costs little.
const maxProblems = 100

// NoOffset is the offset of a finding that belongs to no byte of the document.
const NoOffset = -1

// Problem is one thing that is wrong.
type Problem struct {
	Path    string // such as routes[3].timeout_ms; empty: the document as a whole
	Offset  int    // of the first byte of the value in the document, or NoOffset
	Message string // what is wrong and what was expected
}

// String is the finding on one line.
func (p Problem) String() string {
	var line strings.Builder
	line.WriteString(p.Path)
	if p.Path == "" {
		line.WriteString("document")
	}
	if p.Offset >= 0 {
		line.WriteString(" (byte ")
		line.WriteString(strconv.Itoa(p.Offset))
		line.WriteString(")")
	}
	line.WriteString(": ")
	line.WriteString(p.Message)
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
	for _, problem := range e.Problems {
		lines = append(lines, problem.String())
	}
	if e.Omitted > 0 {
		lines = append(lines, "and "+strconv.Itoa(e.Omitted)+" more")
	}
	return strings.Join(lines, "; ")
}

// Problems collects findings. The zero value is an empty list. It is not safe for concurrent use.
type Problems struct {
	problems []Problem
	omitted  int
}

// Add notes a problem at a place.
func (p *Problems) Add(path, message string) { p.AddAt(path, NoOffset, message) }

// AddAt notes a problem at a place and byte offset of the document.
func (p *Problems) AddAt(path string, offset int, message string) {
	if len(p.problems) >= maxProblems {
		p.omitted++
		return
	}
	p.problems = append(p.problems, Problem{Path: path, Offset: offset, Message: message})
}

// AddError takes over the findings of an error; one that holds none is noted as a problem of the whole document.
func (p *Problems) AddError(err error) {
	if err == nil {
		return
	}
	var validationError *Error
	if !errors.As(err, &validationError) {
		p.Add("", err.Error())
		return
	}
	for _, problem := range validationError.Problems {
		p.AddAt(problem.Path, problem.Offset, problem.Message)
	}
	p.omitted += validationError.Omitted
}

// Len is how many problems were noted.
func (p *Problems) Len() int { return len(p.problems) + p.omitted }

// Err is an *Error with the findings in the order in which they were noted, or nil if there are none.
func (p *Problems) Err() error {
	if len(p.problems) == 0 {
		return nil
	}
	return &Error{Problems: p.problems, Omitted: p.omitted}
}
