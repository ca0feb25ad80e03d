// Package validation collects the problems of a document, each with its path in the document, so that all of them can
// be reported together.
//
// A reader or validator adds to one Problems value and returns its Err, an *Error.
package validation

import (
	"errors"
	"strconv"
	"strings"
)

// maxProblems is the number of problems that are retained; further ones are only counted, which bounds the memory that a
// hostile document can take.
const maxProblems = 100

// NoOffset is the offset of a problem that belongs to no byte of the document.
const NoOffset = -1

// Problem is one thing that is wrong with a document.
type Problem struct {
	Path    string // of the value, such as routes[3].timeout_ms; empty: the document as a whole
	Offset  int    // of the value's first byte in the document, or NoOffset
	Message string // what is wrong and what was expected
}

// String returns the problem on one line.
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

// Error holds the problems of a document, at least one.
type Error struct {
	Problems []Problem
	Omitted  int // number of problems beyond those in Problems
}

// Error returns all problems on one line.
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

// Problems collects problems. The zero value is empty and ready to use. It is not safe for concurrent use.
type Problems struct {
	problems []Problem
	omitted  int
}

// Add adds a problem at a path that has no known offset.
func (p *Problems) Add(path, message string) { p.AddAt(path, NoOffset, message) }

// AddAt adds a problem at a path and byte offset of the document.
func (p *Problems) AddAt(path string, offset int, message string) {
	if len(p.problems) >= maxProblems {
		p.omitted++
		return
	}
	p.problems = append(p.problems, Problem{Path: path, Offset: offset, Message: message})
}

// AddError adds the problems of an *Error that err wraps, without the text of the errors around it. Any other error is added
// as a problem of the whole document; nil adds none.
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

// Len returns the number of problems, those that were only counted included.
func (p *Problems) Len() int { return len(p.problems) + p.omitted }

// Err returns an *Error with the problems in the order in which they were added, or nil if there are none.
func (p *Problems) Err() error {
	if len(p.problems) == 0 {
		return nil
	}
	return &Error{Problems: p.problems, Omitted: p.omitted}
}
