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

// keySpan is how many keys of the table of entries a partition has.
const keySpan = 1 << 44

const (
	begin  = "BEGIN IMMEDIATE"
	commit = "COMMIT"
	undo   = "ROLLBACK"
)

// file is an open connection to SQLite. It belongs to one goroutine. The driver's connection is used without
// database/sql, whose pool and goroutines have no use here.
type file struct {
	connection *sqlite3.SQLiteConn
	prepared   map[string]*sqlite3.SQLiteStmt
}

// openFile opens or makes the file. The driver reads it before it returns, so the locking mode has to be set there: with
// another one the index of the write-ahead log becomes a file in shared memory.
func openFile(path string) (*file, error) {
	name := url.URL{Scheme: "file", OmitHost: true, Path: path,
		RawQuery: "_busy_timeout=0&_mutex=no&_locking_mode=EXCLUSIVE"}
	opened, err := (&sqlite3.SQLiteDriver{}).Open(name.String())
	if err != nil {
		return nil, err
	}
	f := &file{connection: opened.(*sqlite3.SQLiteConn), prepared: make(map[string]*sqlite3.SQLiteStmt)}
	if err := f.setUp(); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

func (f *file) setUp() error {
	for _, pragma := range pragmas {
		if _, err := f.connection.Exec(pragma, nil); err != nil {
			return err
		}
	}
	found := false
	err := f.query("SELECT 1 FROM sqlite_master WHERE name='snapshots'", func([]driver.Value) error {
		found = true
		return nil
	})
	if err != nil || found {
		return err
	}
	return f.createTables()
}

func (f *file) createTables() error {
	if err := f.run(begin); err != nil {
		return err
	}
	if _, err := f.connection.Exec(schema, nil); err != nil {
		return errors.Join(err, f.rollback())
	}
	return f.run(commit)
}

func (f *file) close() {
	for _, statement := range f.prepared {
		statement.Close()
	}
	f.connection.Close()
}

// rollback ends a transaction, unless SQLite has ended it itself.
func (f *file) rollback() error {
	if f.connection.AutoCommit() {
		return nil
	}
	return f.run(undo)
}

func (f *file) statement(text string) (*sqlite3.SQLiteStmt, error) {
	if s := f.prepared[text]; s != nil {
		return s, nil
	}
	s, err := f.connection.Prepare(text)
	if err != nil {
		return nil, err
	}
	f.prepared[text] = s.(*sqlite3.SQLiteStmt)
	return f.prepared[text], nil
}

// run executes a statement without a result.
func (f *file) run(text string, arguments ...driver.Value) error {
	s, err := f.statement(text)
	if err != nil {
		return err
	}
	_, err = s.Exec(arguments)
	return err
}

// query passes each row of a result to a function; the row is valid until it returns.
func (f *file) query(text string, row func([]driver.Value) error, arguments ...driver.Value) error {
	s, err := f.statement(text)
	if err != nil {
		return err
	}
	rows, err := s.Query(arguments)
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

func (f *file) identity() (replica consensus.ReplicaID, existed bool, err error) {
	err = f.query(selectMeta, func(row []driver.Value) error {
		if row[0].(int64) != schemaVersion {
			return &SchemaError{row[0].(int64), schemaVersion}
		}
		replica, existed = consensus.ReplicaID(row[1].(int64)), true
		return nil
	})
	return replica, existed, err
}

func (f *file) insertIdentity(replica consensus.ReplicaID) error {
	return f.run(insertMeta, int64(schemaVersion), int64(replica))
}

func (f *file) writeAll(writes []Update) error {
	for i := range writes {
		if err := f.write(&writes[i]); err != nil {
			return err
		}
	}
	return nil
}

func (f *file) write(w *Update) error {
	if w.InstalledSnapshot != nil {
		if err := f.install(w.Partition, w.InstalledSnapshot); err != nil {
			return err
		}
	}
	if w.HardState != nil {
		if err := f.putHard(w.Partition, w.HardState); err != nil {
			return err
		}
	}
	if err := f.append(w.Partition, w.Entries, w.CommitIndex); err != nil {
		return err
	}
	if w.CompactionSnapshot == nil {
		return nil
	}
	return f.compact(w.Partition, w.CompactionSnapshot)
}

// install replaces snapshot and log.
func (f *file) install(partition feed.Partition, snapshot *consensus.Snapshot) error {
	if err := f.run(deleteEntries, key(partition, 0), key(partition+1, 0)); err != nil {
		return err
	}
	return f.putSnapshot(partition, snapshot)
}

// compact replaces the snapshot and cuts the log up to it.
func (f *file) compact(partition feed.Partition, snapshot *consensus.Snapshot) error {
	if err := f.run(deleteEntries, key(partition, 0), key(partition, snapshot.Index+1)); err != nil {
		return err
	}
	return f.putSnapshot(partition, snapshot)
}

func (f *file) putSnapshot(partition feed.Partition, snapshot *consensus.Snapshot) error {
	return f.run(replaceSnapshot, int64(partition), int64(snapshot.Index), int64(snapshot.Term),
		consensus.EncodeMembership(snapshot.Membership), snapshot.Data)
}

func (f *file) putHard(partition feed.Partition, hard *consensus.HardState) error {
	return f.run(replaceHard, int64(partition), int64(hard.Term), int64(hard.Vote), int64(hard.Commit))
}

// append writes entries in place of all from their first index on.
func (f *file) append(partition feed.Partition, entries []consensus.Entry, committed uint64) error {
	if len(entries) == 0 {
		return nil
	}
	if err := f.run(deleteEntries, key(partition, entries[0].Index), key(partition+1, 0)); err != nil {
		return err
	}
	for i := range entries {
		e := &entries[i]
		err := f.run(insertEntry, key(partition, e.Index), int64(e.Term), int64(e.Kind), int64(committed), e.Data)
		if err != nil {
			return err
		}
	}
	return nil
}

// load reads what stands of a partition.
func (f *file) load(partition feed.Partition) (stored consensus.PersistentState, found bool, err error) {
	if err = f.loadHard(partition, &stored, &found); err != nil {
		return stored, found, err
	}
	if err = f.loadSnapshot(partition, &stored, &found); err != nil {
		return stored, found, err
	}
	err = f.loadEntries(partition, &stored, &found)
	return stored, found, err
}

func (f *file) loadHard(partition feed.Partition, stored *consensus.PersistentState, found *bool) error {
	return f.query(selectHard, func(row []driver.Value) error {
		*found = true
		stored.HardState = consensus.HardState{Term: uint64(row[0].(int64)), Vote: consensus.ReplicaID(row[1].(int64)),
			Commit: uint64(row[2].(int64))}
		return nil
	}, int64(partition))
}

func (f *file) loadSnapshot(partition feed.Partition, stored *consensus.PersistentState, found *bool) error {
	return f.query(selectSnapshot, func(row []driver.Value) error {
		*found = true
		membership, err := consensus.DecodeMembership(blob(row[2]))
		if err != nil {
			return &CorruptError{Cause: fmt.Errorf("membership of partition %d: %w", partition, err)}
		}
		stored.Snapshot = consensus.Snapshot{Index: uint64(row[0].(int64)), Term: uint64(row[1].(int64)),
			Membership: membership, Data: blob(row[3])}
		return nil
	}, int64(partition))
}

func (f *file) loadEntries(partition feed.Partition, stored *consensus.PersistentState, found *bool) error {
	next := stored.Snapshot.Index + 1
	err := f.query(selectEntries, func(row []driver.Value) error {
		*found = true
		index := uint64(row[0].(int64)) % keySpan
		if index != next {
			cause := fmt.Errorf("log of partition %d: entry %d stands where %d belongs", partition, index, next)
			return &CorruptError{Cause: cause}
		}
		next++
		stored.Entries = append(stored.Entries, consensus.Entry{Index: index, Term: uint64(row[1].(int64)),
			Kind: consensus.EntryKind(row[2].(int64)), Data: blob(row[4])})
		stored.HardState.Commit = max(stored.HardState.Commit, uint64(row[3].(int64)))
		return nil
	}, key(partition, 0), key(partition+1, 0))
	stored.HardState.Commit = min(max(stored.HardState.Commit, stored.Snapshot.Index), next-1)
	return err
}

// key is an entry's place in its table.
func key(partition feed.Partition, index uint64) int64 {
	return int64(partition)*keySpan + int64(index)
}

// blob is a copy of a value of bytes; the driver's may be its own memory.
func blob(value driver.Value) []byte {
	b, _ := value.([]byte)
	if len(b) == 0 {
		return nil
	}
	return append([]byte(nil), b...)
}
