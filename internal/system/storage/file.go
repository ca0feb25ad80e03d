package storage

import (
	"database/sql/driver"
	"errors"
	"fmt"
	"io"
	"net/url"

	"github.com/mattn/go-sqlite3"

	"cinderroad/internal/system/consensus"
	"cinderroad/internal/system/feed"
)

// keysPerPartition is how many keys of the table of entries a partition has.
const keysPerPartition = 1 << 44

const (
	beginTransaction    = "BEGIN IMMEDIATE"
	commitTransaction   = "COMMIT"
	rollbackTransaction = "ROLLBACK"
)

// database is an open connection to SQLite. It belongs to one goroutine. The driver's connection is used without
// database/sql, whose pool and goroutines have no use here.
type database struct {
	connection *sqlite3.SQLiteConn
	statements map[string]*sqlite3.SQLiteStmt
}

// openDatabase opens or makes the file. The driver reads it before it returns, so the locking mode has to be set there: with
// another one the index of the write-ahead log becomes a file in shared memory.
func openDatabase(path string) (*database, error) {
	location := url.URL{Scheme: "file", OmitHost: true, Path: path,
		RawQuery: "_busy_timeout=0&_mutex=no&_locking_mode=EXCLUSIVE"}
	opened, err := (&sqlite3.SQLiteDriver{}).Open(location.String())
	if err != nil {
		return nil, err
	}
	db := &database{connection: opened.(*sqlite3.SQLiteConn), statements: make(map[string]*sqlite3.SQLiteStmt)}
	if err := db.configure(); err != nil {
		db.close()
		return nil, err
	}
	return db, nil
}

func (db *database) configure() error {
	for _, pragma := range pragmas {
		if _, err := db.connection.Exec(pragma, nil); err != nil {
			return err
		}
	}
	found := false
	err := db.query("SELECT 1 FROM sqlite_master WHERE name='snapshots'", func([]driver.Value) error {
		found = true
		return nil
	})
	if err != nil || found {
		return err
	}
	return db.createTables()
}

func (db *database) createTables() error {
	if err := db.exec(beginTransaction); err != nil {
		return err
	}
	if _, err := db.connection.Exec(schema, nil); err != nil {
		return errors.Join(err, db.rollback())
	}
	return db.exec(commitTransaction)
}

func (db *database) close() {
	for _, statement := range db.statements {
		statement.Close()
	}
	db.connection.Close()
}

// rollback ends a transaction, unless SQLite has ended it itself.
func (db *database) rollback() error {
	if db.connection.AutoCommit() {
		return nil
	}
	return db.exec(rollbackTransaction)
}

func (db *database) statement(text string) (*sqlite3.SQLiteStmt, error) {
	if statement := db.statements[text]; statement != nil {
		return statement, nil
	}
	statement, err := db.connection.Prepare(text)
	if err != nil {
		return nil, err
	}
	db.statements[text] = statement.(*sqlite3.SQLiteStmt)
	return db.statements[text], nil
}

// exec executes a statement without a result.
func (db *database) exec(text string, arguments ...driver.Value) error {
	statement, err := db.statement(text)
	if err != nil {
		return err
	}
	_, err = statement.Exec(arguments)
	return err
}

// query passes each row of a result to a function; the row is valid until it returns.
func (db *database) query(text string, row func([]driver.Value) error, arguments ...driver.Value) error {
	statement, err := db.statement(text)
	if err != nil {
		return err
	}
	rows, err := statement.Query(arguments)
	if err != nil {
		return err
	}
	defer rows.Close()
	values := make([]driver.Value, len(rows.Columns()))
	for {
		err := rows.Next(values)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := row(values); err != nil {
			return err
		}
	}
}

func (db *database) readIdentity() (replica consensus.ReplicaID, existed bool, err error) {
	err = db.query(selectMeta, func(row []driver.Value) error {
		if row[0].(int64) != schemaVersion {
			return &SchemaError{row[0].(int64), schemaVersion}
		}
		replica, existed = consensus.ReplicaID(row[1].(int64)), true
		return nil
	})
	return replica, existed, err
}

func (db *database) insertIdentity(replica consensus.ReplicaID) error {
	return db.exec(insertMeta, int64(schemaVersion), int64(replica))
}

func (db *database) applyAll(updates []Update) error {
	for i := range updates {
		if err := db.apply(&updates[i]); err != nil {
			return err
		}
	}
	return nil
}

func (db *database) apply(update *Update) error {
	if update.InstalledSnapshot != nil {
		if err := db.installSnapshot(update.Partition, update.InstalledSnapshot); err != nil {
			return err
		}
	}
	if update.HardState != nil {
		if err := db.putHardState(update.Partition, update.HardState); err != nil {
			return err
		}
	}
	if err := db.appendEntries(update.Partition, update.Entries, update.CommitIndex); err != nil {
		return err
	}
	if update.CompactionSnapshot == nil {
		return nil
	}
	return db.compact(update.Partition, update.CompactionSnapshot)
}

// installSnapshot replaces snapshot and log.
func (db *database) installSnapshot(partition feed.Partition, snapshot *consensus.Snapshot) error {
	if err := db.exec(deleteEntries, entryKey(partition, 0), entryKey(partition+1, 0)); err != nil {
		return err
	}
	return db.putSnapshot(partition, snapshot)
}

// compact replaces the snapshot and cuts the log up to it.
func (db *database) compact(partition feed.Partition, snapshot *consensus.Snapshot) error {
	if err := db.exec(deleteEntries, entryKey(partition, 0), entryKey(partition, snapshot.Index+1)); err != nil {
		return err
	}
	return db.putSnapshot(partition, snapshot)
}

func (db *database) putSnapshot(partition feed.Partition, snapshot *consensus.Snapshot) error {
	return db.exec(replaceSnapshot, int64(partition), int64(snapshot.Index), int64(snapshot.Term),
		consensus.EncodeMembership(snapshot.Membership), snapshot.Data)
}

func (db *database) putHardState(partition feed.Partition, hardState *consensus.HardState) error {
	return db.exec(replaceHardState, int64(partition), int64(hardState.Term), int64(hardState.Vote), int64(hardState.Commit))
}

// appendEntries writes entries in place of all from their first index on.
func (db *database) appendEntries(partition feed.Partition, entries []consensus.Entry, committed uint64) error {
	if len(entries) == 0 {
		return nil
	}
	if err := db.exec(deleteEntries, entryKey(partition, entries[0].Index), entryKey(partition+1, 0)); err != nil {
		return err
	}
	for i := range entries {
		entry := &entries[i]
		err := db.exec(insertEntry, entryKey(partition, entry.Index), int64(entry.Term), int64(entry.Kind), int64(committed), entry.Data)
		if err != nil {
			return err
		}
	}
	return nil
}

// load reads what stands of a partition.
func (db *database) load(partition feed.Partition) (state consensus.PersistentState, found bool, err error) {
	if err = db.loadHardState(partition, &state, &found); err != nil {
		return state, found, err
	}
	if err = db.loadSnapshot(partition, &state, &found); err != nil {
		return state, found, err
	}
	err = db.loadEntries(partition, &state, &found)
	return state, found, err
}

func (db *database) loadHardState(partition feed.Partition, state *consensus.PersistentState, found *bool) error {
	return db.query(selectHardState, func(row []driver.Value) error {
		*found = true
		state.HardState = consensus.HardState{Term: uint64(row[0].(int64)), Vote: consensus.ReplicaID(row[1].(int64)),
			Commit: uint64(row[2].(int64))}
		return nil
	}, int64(partition))
}

func (db *database) loadSnapshot(partition feed.Partition, state *consensus.PersistentState, found *bool) error {
	return db.query(selectSnapshot, func(row []driver.Value) error {
		*found = true
		membership, err := consensus.DecodeMembership(copyBlob(row[2]))
		if err != nil {
			return &CorruptError{Cause: fmt.Errorf("membership of partition %d: %w", partition, err)}
		}
		state.Snapshot = consensus.Snapshot{Index: uint64(row[0].(int64)), Term: uint64(row[1].(int64)),
			Membership: membership, Data: copyBlob(row[3])}
		return nil
	}, int64(partition))
}

func (db *database) loadEntries(partition feed.Partition, state *consensus.PersistentState, found *bool) error {
	next := state.Snapshot.Index + 1
	err := db.query(selectEntries, func(row []driver.Value) error {
		*found = true
		index := uint64(row[0].(int64)) % keysPerPartition
		if index != next {
			cause := fmt.Errorf("log of partition %d: entry %d stands where %d belongs", partition, index, next)
			return &CorruptError{Cause: cause}
		}
		next++
		state.Entries = append(state.Entries, consensus.Entry{Index: index, Term: uint64(row[1].(int64)),
			Kind: consensus.EntryKind(row[2].(int64)), Data: copyBlob(row[4])})
		state.HardState.Commit = max(state.HardState.Commit, uint64(row[3].(int64)))
		return nil
	}, entryKey(partition, 0), entryKey(partition+1, 0))
	state.HardState.Commit = min(max(state.HardState.Commit, state.Snapshot.Index), next-1)
	return err
}

// entryKey is an entry's place in its table.
func entryKey(partition feed.Partition, index uint64) int64 {
	return int64(partition)*keysPerPartition + int64(index)
}

// copyBlob is a copy of a value of bytes; the driver's may be its own memory.
func copyBlob(value driver.Value) []byte {
	data, _ := value.([]byte)
	if len(data) == 0 {
		return nil
	}
	return append([]byte(nil), data...)
}
