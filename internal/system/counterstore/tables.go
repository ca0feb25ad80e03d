package counterstore

import (
	"database/sql/driver"

	"cinderroad/internal/system/counter"
	"cinderroad/internal/system/sqlitedb"
)

// readOrigin returns the origin of a file, 0 if it has none yet. The error is a *sqlitedb.SchemaError if the tables have another
// version.
func readOrigin(db *sqlitedb.Database) (origin counter.Origin, err error) {
	err = db.Query(selectMeta, func(row []driver.Value) error {
		if version := row[0].(int64); version != schemaVersion {
			return &sqlitedb.SchemaError{Found: version, Known: schemaVersion}
		}
		origin = counter.Origin(row[1].(int64))
		return nil
	})
	return origin, err
}

// readEntries returns all entries. The driver copies texts, so that they outlive the row.
func readEntries(db *sqlitedb.Database) (entries []counter.Entry, err error) {
	err = db.Query(selectEntries, func(row []driver.Value) error {
		entries = append(entries, counter.Entry{
			Origin:   counter.Origin(row[0].(int64)),
			Sequence: uint64(row[1].(int64)),
			Operation: counter.Operation{
				Counter: row[2].(string),
				ID:      row[3].(string),
				Amount:  row[4].(int64),
			},
		})
		return nil
	})
	return entries, err
}

func appendEntries(db *sqlitedb.Database, entries []counter.Entry) error {
	for i := range entries {
		entry := &entries[i]
		operation := &entry.Operation
		err := db.Exec(replaceEntry, int64(entry.Origin), int64(entry.Sequence), operation.Counter, operation.ID, operation.Amount)
		if err != nil {
			return err
		}
	}
	return nil
}
