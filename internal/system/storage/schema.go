package storage

import "cinderroad/internal/system/sqlitedb"

// schemaVersion is raised with every change of the tables that earlier programs can't read.
const schemaVersion = 1

// createTables creates the tables. The key of an entry is its partition times keysPerPartition plus its index: the table is
// in the order of the logs, and a log is one range of keys. Each entry also holds the commit index that was known when
// it was written: a row of its own would cost one more page per write.
const createTables = `
CREATE TABLE IF NOT EXISTS meta (
	id      INTEGER PRIMARY KEY CHECK (id = 1),
	schema  INTEGER NOT NULL,
	replica INTEGER NOT NULL
);
CREATE TABLE IF NOT EXISTS hard_state (
	partition INTEGER PRIMARY KEY,
	term      INTEGER NOT NULL,
	vote      INTEGER NOT NULL,
	committed INTEGER NOT NULL
);
CREATE TABLE IF NOT EXISTS entries (
	key       INTEGER PRIMARY KEY,
	term      INTEGER NOT NULL,
	kind      INTEGER NOT NULL,
	committed INTEGER NOT NULL,
	data      BLOB
);
CREATE TABLE IF NOT EXISTS snapshots (
	partition  INTEGER PRIMARY KEY,
	position   INTEGER NOT NULL,
	term       INTEGER NOT NULL,
	membership BLOB NOT NULL,
	data       BLOB
);`

// schema describes the tables.
var schema = sqlitedb.Schema{Statements: createTables, LastTable: "snapshots"}

const (
	selectMeta       = "SELECT schema, replica FROM meta WHERE id=1"
	insertMeta       = "INSERT INTO meta (id, schema, replica) VALUES (1, ?, ?)"
	selectHardState  = "SELECT term, vote, committed FROM hard_state WHERE partition=?"
	replaceHardState = "INSERT OR REPLACE INTO hard_state (partition, term, vote, committed) VALUES (?, ?, ?, ?)"
	selectEntries    = "SELECT key, term, kind, committed, data FROM entries WHERE key>=? AND key<? ORDER BY key"
	insertEntry      = "INSERT INTO entries (key, term, kind, committed, data) VALUES (?, ?, ?, ?, ?)"
	deleteEntries    = "DELETE FROM entries WHERE key>=? AND key<?"
	selectSnapshot   = "SELECT position, term, membership, data FROM snapshots WHERE partition=?"
	replaceSnapshot  = "INSERT OR REPLACE INTO snapshots (partition, position, term, membership, data) " +
		"VALUES (?, ?, ?, ?, ?)"
)
