package counterstore

import "cinderroad/internal/system/sqlitedb"

// databaseName is the file in the state folder.
const databaseName = "counters.db"

// schemaVersion is raised with every change of the tables that earlier programs can't read.
const schemaVersion = 1

// schema describes the tables. An origin is stored as the signed number with the same bits. The table of entries is in the
// order of the logs.
var schema = sqlitedb.Schema{
	Statements: `
CREATE TABLE IF NOT EXISTS entries (
	origin   INTEGER NOT NULL,
	sequence INTEGER NOT NULL,
	counter  TEXT NOT NULL,
	id       TEXT NOT NULL,
	amount   INTEGER NOT NULL,
	PRIMARY KEY (origin, sequence)
) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS meta (
	id     INTEGER PRIMARY KEY CHECK (id = 1),
	schema INTEGER NOT NULL,
	origin INTEGER NOT NULL
);`,
	LastTable: "meta",
}

const (
	selectMeta    = "SELECT schema, origin FROM meta WHERE id=1"
	replaceMeta   = "INSERT OR REPLACE INTO meta (id, schema, origin) VALUES (1, ?, ?)"
	selectEntries = "SELECT origin, sequence, counter, id, amount FROM entries ORDER BY origin, sequence"
	// replaceEntry repeats a write that has failed but was found on the disk after the file was reopened.
	replaceEntry = "INSERT OR REPLACE INTO entries (origin, sequence, counter, id, amount) VALUES (?, ?, ?, ?, ?)"
)
