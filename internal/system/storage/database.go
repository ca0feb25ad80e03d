package storage

import (
	"database/sql/driver"

	"cinderroad/internal/system/sqlitedb"
)

// database reads and writes the tables of an open database.
type database struct{ *sqlitedb.Database }

// exec runs a statement without a result.
func (db *database) exec(text string, arguments ...driver.Value) error {
	return db.Exec(text, arguments...)
}

// query passes each row of a result to a function. The row is valid until that returns.
func (db *database) query(text string, row func([]driver.Value) error, arguments ...driver.Value) error {
	return db.Query(text, row, arguments...)
}
