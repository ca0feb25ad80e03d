package membership

import (
	"github.com/fxamacker/cbor/v2"
)

// StrictDecMode returns a decoder that rejects all that the target does not define, with bounds of nesting and of the
// fields of a map. It panics on bounds that the CBOR library rejects.
func StrictDecMode(nested, fields int) cbor.DecMode {
	return StrictDecModeForArrays(nested, fields, 128)
}

// StrictDecModeForArrays is StrictDecMode with a bound of the elements of an array, for callers that bound the size of
// their input.
func StrictDecModeForArrays(nested, fields, elements int) cbor.DecMode {
	return must(cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden, MaxNestedLevels: nested,
		MaxArrayElements: elements, MaxMapPairs: fields, ExtraReturnErrors: cbor.ExtraDecErrorUnknownField, TagsMd: cbor.TagsForbidden}.DecMode())
}

var deterministicEncMode = must(cbor.CoreDetEncOptions().EncMode())

// MarshalDeterministic encodes a value of plain fields; equal values have the same bytes. It panics if the value cannot
// be encoded.
func MarshalDeterministic(v any) []byte {
	return must(deterministicEncMode.Marshal(v))
}

func must[T any](mode T, err error) T {
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}
