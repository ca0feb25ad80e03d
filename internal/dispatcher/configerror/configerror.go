// Package configerror has the error for a problem of a file that configures the dispatcher. It decides nothing: the packages
// that read the files say what is wrong, and where.
package configerror

import "strconv"

// Error is a problem of a file, with its position as far as it is known.
type Error struct {
	File string // what kind of file it is, such as "config"; the text begins with it
	Path string
	Line int    // from 1; 0: not known
	Key  string // such as limits.sockets or function[0].class; empty: the problem is not of a key
	Err  error  // what is wrong, without the position
}

// Error names the file, the line and the key, as far as they are known.
func (e *Error) Error() string {
	text := e.File + ": " + e.Path
	if e.Line > 0 {
		text += ":" + strconv.Itoa(e.Line)
	}
	if e.Key != "" {
		text += ": " + e.Key
	}
	return text + ": " + e.Err.Error()
}

// Unwrap returns what is wrong.
func (e *Error) Unwrap() error { return e.Err }
