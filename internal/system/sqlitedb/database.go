package sqlitedb

import (
	"database/sql/driver"
	"errors"
	"io"
	"net/url"

	"github.com/mattn/go-sqlite3"
)

// Statements that begin and end a transaction.
const (
	beginTransaction    = "BEGIN IMMEDIATE"
	commitTransaction   = "COMMIT"
	rollbackTransaction = "ROLLBACK"
)

// pragmas configure a connection, beside the locking mode (see Open). With a write-ahead log and full synchronisation a
// commit costs one sync. A mapped file would turn a disk fault into a signal instead of an error.
var pragmas = []string{
	"PRAGMA page_size=4096", // bytes
	"PRAGMA journal_mode=WAL",
	"PRAGMA synchronous=FULL",
	"PRAGMA wal_autocheckpoint=256",     // pages: 1 MiB
	"PRAGMA journal_size_limit=4194304", // bytes: 4 MiB
	"PRAGMA cache_size=-256",            // a negative number is in KiB
	"PRAGMA mmap_size=0",
	"PRAGMA temp_store=MEMORY",
}

// Schema creates the tables of a store in a new file.
type Schema struct {
	Statements string
	// LastTable is a table that Statements create. A file without it has no tables yet.
	LastTable string
}

// Database is an open SQLite connection. It belongs to one goroutine at a time. The driver's connection is used without
// database/sql, whose pool and goroutines have no use here.
type Database struct {
	connection *sqlite3.SQLiteConn
	statements map[string]*sqlite3.SQLiteStmt // prepared, by their text
}

// Open opens a database or creates it, with its tables if they are missing. The errors are those of SQLite, see WrapError.
// The driver reads the file before it returns, so that the locking mode has to be part of the location: in the default mode
// the index of the write-ahead log is a file in shared memory.
func Open(path string, schema Schema) (*Database, error) {
	location := url.URL{
		Scheme:   "file",
		OmitHost: true,
		Path:     path,
		RawQuery: "_busy_timeout=0&_mutex=no&_locking_mode=EXCLUSIVE",
	}
	opened, err := (&sqlite3.SQLiteDriver{}).Open(location.String())
	if err != nil {
		return nil, err
	}
	db := &Database{connection: opened.(*sqlite3.SQLiteConn), statements: make(map[string]*sqlite3.SQLiteStmt)}
	if err := db.configure(schema); err != nil {
		db.Close()
		return nil, err
	}
	return db, nil
}

// configure sets the connection up and creates the tables if they are missing.
func (db *Database) configure(schema Schema) error {
	for _, pragma := range pragmas {
		if _, err := db.connection.Exec(pragma, nil); err != nil {
			return err
		}
	}
	found := false
	err := db.Query("SELECT 1 FROM sqlite_master WHERE name=?", func([]driver.Value) error {
		found = true
		return nil
	}, schema.LastTable)
	if err != nil || found {
		return err
	}
	return db.transact(func(db *Database) error {
		_, err := db.connection.Exec(schema.Statements, nil)
		return err
	})
}

// Close closes the connection.
func (db *Database) Close() {
	for _, statement := range db.statements {
		statement.Close()
	}
	db.connection.Close()
}

// transact runs the steps in one transaction, which is synced when it returns nil. After an error nothing is changed.
func (db *Database) transact(steps ...func(*Database) error) error {
	if err := db.Exec(beginTransaction); err != nil {
		return err
	}
	for _, step := range steps {
		if err := step(db); err != nil {
			return errors.Join(err, db.rollback())
		}
	}
	if err := db.Exec(commitTransaction); err != nil {
		return errors.Join(err, db.rollback())
	}
	return nil
}

// rollback ends a transaction, unless SQLite has already ended it.
func (db *Database) rollback() error {
	if db.connection.AutoCommit() {
		return nil
	}
	return db.Exec(rollbackTransaction)
}

// statement returns a prepared statement, which it prepares on first use.
func (db *Database) statement(text string) (*sqlite3.SQLiteStmt, error) {
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

// Exec runs a statement without a result.
func (db *Database) Exec(text string, arguments ...driver.Value) error {
	statement, err := db.statement(text)
	if err != nil {
		return err
	}
	_, err = statement.Exec(arguments)
	return err
}

// Query passes each row of a result to a function. The row, with the memory of its blobs, is valid until that returns.
func (db *Database) Query(text string, row func([]driver.Value) error, arguments ...driver.Value) error {
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
