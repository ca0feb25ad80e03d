package jsonfield

import (
	"bytes"

	"github.com/go-faster/jx"
)

// ReadObject calls field for each field of an object, in order; for a duplicate field once for each time that it is there.
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

// ReadStrictObject is ReadObject for documents that are stored: a duplicate field with another value is a problem, and
// one with the same value is passed to field once.
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

// fieldSet holds the fields of an object that were read. Most objects are small, so only large ones have a map.
type fieldSet struct {
	small []seenField
	large map[string][]byte
}

type seenField struct {
	name string
	raw  []byte
}

// add returns the value that a field has already, or adds the field.
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
