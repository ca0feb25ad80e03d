package membership

import (
	"github.com/fxamacker/cbor/v2"
)

// defaultMaxElements bounds the elements of an array in StrictDecMode.
const defaultMaxElements = 128

// StrictDecMode returns a decoder that rejects all that the target does not define, with bounds of nesting and of the
// fields of a map. It panics on bounds that the CBOR library rejects.
func StrictDecMode(maxNesting, maxFields int) cbor.DecMode {
	return StrictDecModeForArrays(maxNesting, maxFields, defaultMaxElements)
}

// StrictDecModeForArrays is StrictDecMode with a bound of the elements of an array, for callers that bound the size of
// their input.
func StrictDecModeForArrays(maxNesting, maxFields, maxElements int) cbor.DecMode {
	options := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		MaxNestedLevels:   maxNesting,
		MaxArrayElements:  maxElements,
		MaxMapPairs:       maxFields,
	}
	return must(options.DecMode())
}

var deterministicEncMode = must(cbor.CoreDetEncOptions().EncMode())

// MarshalDeterministic encodes a value of plain fields; equal values have the same bytes. It panics if the value cannot
// be encoded.
func MarshalDeterministic(v any) []byte {
	return must(deterministicEncMode.Marshal(v))
}

// must returns value. An error can only come from a mistake in the program, so it panics.
func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}
