package storage

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

// database is an open SQLite connection. It belongs to one goroutine. The driver's connection is used without
// database/sql, whose pool and goroutines have no use here.
type database struct {
	connection *sqlite3.SQLiteConn
	statements map[string]*sqlite3.SQLiteStmt // prepared, by their text
}

// openDatabase opens the database or creates it. The driver reads the file before it returns, so that the locking mode
// has to be part of the location: in the default mode the index of the write-ahead log is a file in shared memory.
func openDatabase(path string) (*database, error) {
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
	db := &database{connection: opened.(*sqlite3.SQLiteConn), statements: make(map[string]*sqlite3.SQLiteStmt)}
	if err := db.configure(); err != nil {
		db.close()
		return nil, err
	}
	return db, nil
}

// configure sets the connection up and creates the tables if they are missing.
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

// rollback ends a transaction, unless SQLite has already ended it.
func (db *database) rollback() error {
	if db.connection.AutoCommit() {
		return nil
	}
	return db.exec(rollbackTransaction)
}

// statement returns a prepared statement, which it prepares on first use.
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

// exec runs a statement without a result.
func (db *database) exec(text string, arguments ...driver.Value) error {
	statement, err := db.statement(text)
	if err != nil {
		return err
	}
	_, err = statement.Exec(arguments)
	return err
}

// query passes each row of a result to a function. The row is valid until that returns.
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
