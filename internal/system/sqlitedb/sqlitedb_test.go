package sqlitedb

import (
	"database/sql/driver"
	"errors"
	"os"
	"path/filepath"
	"testing"
)

var testSchema = Schema{Statements: "CREATE TABLE numbers (number INTEGER PRIMARY KEY)", LastTable: "numbers"}

var errBroken = errors.New("broken")

func openDatabase(t *testing.T, path string) *Database {
	t.Helper()
	db, err := Open(path, testSchema)
	if err != nil {
		t.Fatal(err)
	}
	return db
}

// startWriter starts the writer of a new file, and counts how often the file is opened again.
func startWriter(t *testing.T) (writer *Writer, reopened *int) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "numbers.db")
	reopened = new(int)
	writer = StartWriter(path, openDatabase(t, path), func() (*Database, error) {
		*reopened++
		return Open(path, testSchema)
	})
	t.Cleanup(writer.Close)
	return writer, reopened
}

func insert(numbers ...int64) func(*Database) error {
	return func(db *Database) error {
		for _, number := range numbers {
			if err := db.Exec("INSERT INTO numbers (number) VALUES (?)", number); err != nil {
				return err
			}
		}
		return nil
	}
}

// expectSum expects a sum of all numbers that are stored.
func expectSum(t *testing.T, writer *Writer, want int64) {
	t.Helper()
	var got int64
	err := writer.Submit("sum up", func(db *Database) error {
		return db.Query("SELECT TOTAL(number) FROM numbers", func(row []driver.Value) error {
			got = int64(row[0].(float64))
			return nil
		})
	})
	if err != nil || got != want {
		t.Errorf("the sum is %d, want %d; %v", got, want, err)
	}
}

// TestFailedStepIsRolledBack: steps of one transaction share its outcome.
func TestFailedStepIsRolledBack(t *testing.T) {
	path := filepath.Join(t.TempDir(), "numbers.db")
	db := openDatabase(t, path)
	if err := db.transact(insert(1)); err != nil {
		t.Fatal(err)
	}
	fail := func(*Database) error { return errBroken }
	if err := db.transact(insert(10), fail, insert(100)); !errors.Is(err, errBroken) {
		t.Error(err)
	}
	writer := StartWriter(path, db, nil)
	defer writer.Close()
	expectSum(t, writer, 1)
}

// TestReopenAfterFailures: the file is opened again after some failures in a row, and not otherwise.
func TestReopenAfterFailures(t *testing.T) {
	writer, reopened := startWriter(t)
	for round := range 2 {
		for range FailuresBeforeReopen {
			if err := writer.Submit("fail", func(*Database) error { return errBroken }); !errors.Is(err, errBroken) {
				t.Fatal(err)
			}
		}
		if *reopened != round {
			t.Errorf("opened again %d times, want %d", *reopened, round)
		}
		expectSum(t, writer, 0)
		if *reopened != round+1 {
			t.Errorf("opened again %d times, want %d", *reopened, round+1)
		}
	}
	for range FailuresBeforeReopen - 1 {
		_ = writer.Submit("fail", func(*Database) error { return errBroken })
	}
	expectSum(t, writer, 0)
	if *reopened != 2 {
		t.Errorf("opened again after too few failures")
	}
}

func TestSubmitAfterClose(t *testing.T) {
	writer, _ := startWriter(t)
	writer.Close()
	if err := writer.Submit("insert", insert(1)); !errors.Is(err, ErrClosed) {
		t.Error(err)
	}
}

func TestOpenOrQuarantine(t *testing.T) {
	folder := t.TempDir()
	files := Files{Path: filepath.Join(folder, "numbers.db"), Sync: SyncPath}
	var opened *Database
	open := func() (err error) {
		opened, err = Open(files.Path, testSchema)
		return WrapError(files.Path, "open", err)
	}
	if corrupt, err := files.OpenOrQuarantine(open); corrupt != nil || err != nil {
		t.Fatal(corrupt, err)
	}
	opened.Close()
	if err := os.WriteFile(files.Path, make([]byte, 8192), 0o600); err != nil {
		t.Fatal(err)
	}
	corrupt, err := files.OpenOrQuarantine(open)
	if err != nil || corrupt == nil || corrupt.MovedTo != files.Path+QuarantineSuffix {
		t.Fatal(corrupt, err)
	}
	opened.Close()
	if moved, err := os.ReadFile(corrupt.MovedTo); err != nil || len(moved) != 8192 {
		t.Errorf("%d bytes were moved aside, %v", len(moved), err)
	}
}

// TestPrepareRemovesSideFiles: side files without their database are those of a lost one.
func TestPrepareRemovesSideFiles(t *testing.T) {
	files := Files{Path: filepath.Join(t.TempDir(), "numbers.db"), Sync: SyncPath}
	if removed, err := files.Prepare(); removed || err != nil {
		t.Fatal(removed, err)
	}
	if err := os.WriteFile(files.Path+WALSuffix, []byte("log"), 0o600); err != nil {
		t.Fatal(err)
	}
	if removed, err := files.Prepare(); !removed || err != nil {
		t.Error(removed, err)
	}
	if found, err := PathExists(files.Path + WALSuffix); found || err != nil {
		t.Error("the log of a lost database is still there", err)
	}
}
