// Package sqlitedb holds what the stores of a state folder share: a connection to an SQLite file with a write-ahead log that
// is synced at every commit, the handling of the file and its side files around a crash, and a writer goroutine with group
// commit.
//
// A store prepares its Files, opens a Database with its Schema, reads what identifies it, and hands the Database to a Writer.
// Files.OpenOrQuarantine does the first steps again with an empty file if the present one is corrupt. All functions return
// the error types of this package.
package sqlitedb
