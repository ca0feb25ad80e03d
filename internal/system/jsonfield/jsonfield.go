// Package jsonfield reads JSON documents field by field with jx. A value that is not what its reader expects becomes a
// finding with the value's place and byte offset, and reading goes on, so that all findings of a document come
// together.
package jsonfield

import (
	"bytes"
	"errors"
	"io"
	"math"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/jx"

	"cinderroad/internal/system/validation"
)

// document is what all values of one document share.
type document struct {
	source   []byte
	problems *validation.Problems
}

// Value is a JSON value of a document. Its methods that read it return false, and note a finding, if it is not of the
// kind that they read.
type Value struct {
	document *document
	parent   *Value
	name     string // within an object, or the place of the document's root
	index    int    // within an array; noIndex elsewhere
	raw      []byte
}

const noIndex = -1

// Parse checks the syntax of a whole document and returns its value. Anything but one JSON value with white space
// around it is a finding.
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

// ValueAt reads a value that is known to be valid JSON and stands at the given place of a document that is not at hand.
// Offsets of findings count from the value's first byte.
func ValueAt(path string, raw []byte, problems *validation.Problems) Value {
	return Value{document: &document{source: raw, problems: problems}, name: path, index: noIndex, raw: raw}
}

func syntaxMessage(err error) string {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return "it is cut short"
	}
	return err.Error()
}

// Raw is the value as it is written. It shares its bytes with the document.
func (v Value) Raw() []byte { return v.raw }

// Offset is where the value begins in its document, in bytes.
func (v Value) Offset() int {
	// Values are subslices of the source, and jx does not cut their capacity.
	return cap(v.document.source) - cap(v.raw)
}

// Path names the value within its document, such as routes[3].timeout_ms.
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

// AddProblem notes a finding about the value.
func (v Value) AddProblem(message string) {
	v.document.problems.AddAt(v.Path(), v.Offset(), message)
}

// IsNull says whether the value is null.
func (v Value) IsNull() bool { return v.kind() == jx.Null }

// IsObject says whether the value is an object.
func (v Value) IsObject() bool { return v.kind() == jx.Object }

// IsArray says whether the value is an array.
func (v Value) IsArray() bool { return v.kind() == jx.Array }

func (v Value) kind() jx.Type { return jx.Raw(v.raw).Type() }

// ReadObject calls field for each field of an object, in order.
func (v Value) ReadObject(field func(name string, value Value)) bool {
	if !v.IsObject() {
		v.AddProblem("must be an object")
		return false
	}
	err := jx.DecodeBytes(v.raw).Obj(func(decoder *jx.Decoder, name string) error {
		raw, err := decoder.Raw()
		if err != nil {
			return err
		}
		field(name, Value{document: v.document, parent: &v, name: name, index: noIndex, raw: trimSpace(raw)})
		return nil
	})
	return v.checkSyntax(err)
}

// ReadStrictObject is Object for what is to be kept: a field that is there twice with different values is a finding, and
// one that is there twice with the same value is told once.
func (v Value) ReadStrictObject(field func(name string, value Value)) bool {
	var seen fieldSet
	return v.ReadObject(func(name string, value Value) {
		raw, present := seen.add(name, value.raw)
		switch {
		case !present:
			field(name, value)
		case !bytes.Equal(raw, value.raw):
			value.AddProblem("is there twice with different values")
		}
	})
}

// fieldSet is the fields of an object that were read. Most objects are small, so there is a map only for large ones.
type fieldSet struct {
	small []seenField
	large map[string][]byte
}

type seenField struct {
	name string
	raw  []byte
}

// add returns the value that a field has already, or adds it.
func (s *fieldSet) add(name string, raw []byte) ([]byte, bool) {
	const initialCapacity, maxSmall = 16, 32
	if s.large != nil {
		existing, present := s.large[name]
		if !present {
			s.large[name] = raw
		}
		return existing, present
	}
	for _, field := range s.small {
		if field.name == name {
			return field.raw, true
		}
	}
	if s.small == nil {
		s.small = make([]seenField, 0, initialCapacity)
	}
	s.small = append(s.small, seenField{name: name, raw: raw})
	if len(s.small) > maxSmall {
		s.large = make(map[string][]byte, 2*len(s.small))
		for _, field := range s.small {
			s.large[field.name] = field.raw
		}
	}
	return nil, false
}

// ReadArray calls element for each element of an array, in order.
func (v Value) ReadArray(element func(index int, value Value)) bool {
	if !v.IsArray() {
		v.AddProblem("must be a list")
		return false
	}
	index := 0
	err := jx.DecodeBytes(v.raw).Arr(func(decoder *jx.Decoder) error {
		raw, err := decoder.Raw()
		if err != nil {
			return err
		}
		element(index, Value{document: v.document, parent: &v, index: index, raw: trimSpace(raw)})
		index++
		return nil
	})
	return v.checkSyntax(err)
}

func (v Value) checkSyntax(err error) bool {
	if err != nil {
		v.AddProblem("cannot be read: " + syntaxMessage(err))
		return false
	}
	return true
}

// Text is a string.
func (v Value) Text() (string, bool) {
	if v.kind() != jx.String {
		v.AddProblem("must be a string")
		return "", false
	}
	text, err := jx.DecodeBytes(v.raw).Str()
	return text, v.checkSyntax(err)
}

// Texts is a list of strings.
func (v Value) Texts() ([]string, bool) {
	var texts []string
	allText := true
	read := v.ReadArray(func(_ int, element Value) {
		text, ok := element.Text()
		allText = allText && ok
		texts = append(texts, text)
	})
	return texts, read && allText
}

// Bool is true or false.
func (v Value) Bool() (bool, bool) {
	if v.kind() != jx.Bool {
		v.AddProblem("must be true or false")
		return false, false
	}
	value, err := jx.DecodeBytes(v.raw).Bool()
	return value, v.checkSyntax(err)
}

// Float is a number of any notation that a float64 can hold.
func (v Value) Float() (float64, bool) {
	if v.kind() != jx.Number {
		v.AddProblem("must be a number")
		return 0, false
	}
	value, err := strconv.ParseFloat(string(v.raw), 64)
	if err != nil {
		v.AddProblem("must be a number within the range of a 64-bit float")
		return 0, false
	}
	return value, true
}

// NonNegativeFloat is a number that is not negative.
func (v Value) NonNegativeFloat() (float64, bool) {
	number, ok := v.Float()
	if ok && number < 0 {
		v.AddProblem("must not be negative")
		return 0, false
	}
	return number, ok
}

// Duration is a time that is told as a number of the given unit and is not negative.
func (v Value) Duration(unit time.Duration) (time.Duration, bool) {
	const maxNanoseconds = 1 << 62
	number, ok := v.NonNegativeFloat()
	if !ok {
		return 0, false
	}
	nanoseconds := number * float64(unit)
	if nanoseconds > maxNanoseconds {
		v.AddProblem("is too long a time")
		return 0, false
	}
	return time.Duration(nanoseconds), true
}

// SplitDurationUnit cuts the unit off the name of a time, such as wait_ms or wait_s; the unit of a name without one is 0.
func SplitDurationUnit(name string) (base string, unit time.Duration) {
	if base, found := strings.CutSuffix(name, "_ms"); found {
		return base, time.Millisecond
	}
	if base, found := strings.CutSuffix(name, "_s"); found {
		return base, time.Second
	}
	return name, 0
}

// Int is a whole number of any notation, so that 3, 3.0 and 3e0 are the same.
func (v Value) Int() (int, bool) {
	if value, err := strconv.ParseInt(string(v.raw), 10, 0); err == nil {
		return int(value), true
	}
	value, ok := v.Float()
	if !ok {
		return 0, false
	}
	const limit = 1 << 63
	if value != math.Trunc(value) || value >= limit || value < -limit {
		v.AddProblem("must be a whole number")
		return 0, false
	}
	return int(value), true
}

// Uint64 is a whole number that is not negative.
func (v Value) Uint64() (uint64, bool) {
	if value, err := strconv.ParseUint(string(v.raw), 10, 64); err == nil {
		return value, true
	}
	value, ok := v.Float()
	if !ok {
		return 0, false
	}
	const limit = 1 << 64
	if value != math.Trunc(value) || value >= limit || value < 0 {
		v.AddProblem("must be a whole number that is not negative")
		return 0, false
	}
	return uint64(value), true
}

// Addr is a string of an IP address.
func (v Value) Addr() (netip.Addr, bool) {
	text, ok := v.Text()
	if !ok {
		return netip.Addr{}, false
	}
	address, err := netip.ParseAddr(text)
	if err != nil {
		v.AddProblem("must be an IP address")
		return netip.Addr{}, false
	}
	return address, true
}

// AddrPort is a string of an IP address and port.
func (v Value) AddrPort() (netip.AddrPort, bool) {
	text, ok := v.Text()
	if !ok {
		return netip.AddrPort{}, false
	}
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		v.AddProblem("must be IP:PORT")
		return netip.AddrPort{}, false
	}
	return address, true
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
