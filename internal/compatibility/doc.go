// Package compatibility keeps what version 1fdb0df of the programs stored and what it sent between processes, and its
// tests hold later versions to it: they read all of it as that version meant it, and write the same bytes where an
// encoding is deterministic. A machine is upgraded while others still run the version before, and its disk is that
// version's: a change in these bytes that no version number announces loses what is stored, or has two versions
// misunderstand each other.
//
// The files in testdata were made by the encoders of that version. Where a form has only private encoders, its files lie
// in testdata/compatibility of its own package, beside a compatibility_test.go there. A test that encodes a value and
// finds its file missing fails, unless the environment variable Variable is set: then it writes the file. A file that is
// there is never written again. To add a form, write its test, run it once with the variable set on the version that is
// to be recorded, and commit the file. To change a form on purpose, keep its file and its test as what is still to be
// read, and record the new form beside it.
//
// Expected values are written in the tests as Go literals or kept as text of values. What tells types or fields by their
// Go names on the way, as the calls between processes do (see package rpc), is compared with the names of the recorded
// bytes.
package compatibility
