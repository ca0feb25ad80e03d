package jsonfield

import (
	"errors"
	"io"
	"strconv"

	"github.com/go-faster/jx"

	"cinderroad/internal/system/validation"
)

// document is what all values of one document share.
type document struct {
	source   []byte
	problems *validation.Problems
}

// Value is a JSON value of a document. Its methods that read it return false and add a problem if the value is not of
// the kind that they read.
type Value struct {
	document *document
	parent   *Value
	name     string // of the field within its object, or the path of the document's root
	index    int    // of the element within its array; noIndex if it is none
	raw      []byte
}

// noIndex is the index of a value that is not an element of an array.
const noIndex = -1

// Parse checks the syntax of a document and returns its value. Anything but one JSON value with white space
// around it is a problem.
func Parse(source []byte, problems *validation.Problems) (Value, bool) {
	decoder := jx.DecodeBytes(source)
	raw, err := decoder.Raw()
	if err != nil {
		problems.Add("", "is not JSON that can be read whole: "+syntaxMessage(err))
		return Value{}, false
	}
	raw = trimSpace(raw)
	root := Value{document: &document{source: source, problems: problems}, index: noIndex, raw: raw}
	end := root.Offset() + len(raw)
	if rest := trimSpace(source[end:]); len(rest) > 0 {
		problems.AddAt("", len(source)-len(rest), "has bytes after its end")
		return Value{}, false
	}
	return root, true
}

// ValueAt returns the value raw, which must be valid JSON, as a part of a document that the caller does not have: path is
// its path there. Offsets of problems count from the value's first byte.
func ValueAt(path string, raw []byte, problems *validation.Problems) Value {
	return Value{document: &document{source: raw, problems: problems}, name: path, index: noIndex, raw: raw}
}

// syntaxMessage returns the message of a problem with a document's syntax.
func syntaxMessage(err error) string {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return "it is cut short"
	}
	return err.Error()
}

// Raw returns the value as it was written. It shares its bytes with the document.
func (v Value) Raw() []byte { return v.raw }

// Offset returns the position of the value's first byte in its document.
func (v Value) Offset() int {
	// Values are subslices of the source, and jx does not cut their capacity.
	return cap(v.document.source) - cap(v.raw)
}

// Path returns the value's path within its document, such as routes[3].timeout_ms.
func (v Value) Path() string {
	if v.parent == nil {
		return v.name
	}
	path := v.parent.Path()
	if v.index != noIndex {
		return path + "[" + strconv.Itoa(v.index) + "]"
	}
	if path == "" {
		return v.name
	}
	return path + "." + v.name
}

// AddProblem adds a problem at the value's path and offset. The message continues a sentence that begins with the path.
func (v Value) AddProblem(message string) {
	v.document.problems.AddAt(v.Path(), v.Offset(), message)
}

// IsNull reports whether the value is null.
func (v Value) IsNull() bool { return v.kind() == jx.Null }

// IsObject reports whether the value is an object.
func (v Value) IsObject() bool { return v.kind() == jx.Object }

// IsArray reports whether the value is an array.
func (v Value) IsArray() bool { return v.kind() == jx.Array }

func (v Value) kind() jx.Type { return jx.Raw(v.raw).Type() }

// checkSyntax adds a problem for an error of the decoder and reports whether there was none.
func (v Value) checkSyntax(err error) bool {
	if err != nil {
		v.AddProblem("cannot be read: " + syntaxMessage(err))
		return false
	}
	return true
}

func trimSpace(raw []byte) []byte {
	for len(raw) > 0 && isSpace(raw[0]) {
		raw = raw[1:]
	}
	return raw[:len(raw)-trailingSpace(raw)]
}

func trailingSpace(raw []byte) int {
	count := 0
	for count < len(raw) && isSpace(raw[len(raw)-1-count]) {
		count++
	}
	return count
}

func isSpace(b byte) bool { return b == ' ' || b == '\t' || b == '\n' || b == '\r' }
