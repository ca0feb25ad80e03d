// Package jsonfield reads JSON documents field by field.
//
// A value that is not what its reader expects becomes a problem with the value's path and byte offset in a
// validation.Problems, and reading goes on, so that all problems of a document are reported together. The methods that
// read a value return the zero value and false then; a caller that collects problems may ignore the second result.
//
// Unlike encoding/json, the package tells absent fields from null ones, keeps the text of a value as it was written
// (see [Value.Raw]), and can reject duplicate fields (see [Value.ReadStrictObject]). Values share their bytes with the
// document, which must not be altered while they are in use.
package jsonfield
