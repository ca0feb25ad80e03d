// Package compatibility holds recordings of the data that version 1fdb0df of the programs stored and sent between
// processes. Its tests check that later versions read all of it with the same meaning, and write the same bytes where an
// encoding is deterministic. A machine is upgraded while others still run the previous version, and its disk was written
// by that version: a change of these bytes without a new version number loses stored data, or makes two versions
// misread each other.
//
// The files in testdata were made by the encoders of that version. Where a form has only unexported encoders, its files
// are in testdata/compatibility of its own package, beside a compatibility_test.go there. A test that encodes a value and
// finds its file missing fails, unless the environment variable Variable is set: then it writes the file. An existing
// file is never overwritten. To add a form, write its test, run it once with the variable set on the version that is to
// be recorded, and commit the file. To change a form on purpose, keep its file and its test, since the old form must
// still be read, and record the new form beside it.
//
// Expected values are Go literals in the tests, or text files. Encodings that contain the Go names of types or fields, such
// as calls between processes (see package rpc), are compared by these names as well.
package compatibility
