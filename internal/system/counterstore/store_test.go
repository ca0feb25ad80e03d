package counterstore

import (
	"database/sql/driver"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"cinderroad/internal/system/counter"
	"cinderroad/internal/system/sqlitedb"
)

const (
	ownOrigin   = counter.Origin(1<<63 + 5) // negative as a stored number
	otherOrigin = counter.Origin(9)
)

func fixedOrigin() counter.Origin { return ownOrigin }

func openStore(t testing.TB, folder string) *Store {
	t.Helper()
	store, err := Open(folder, fixedOrigin)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { store.Close() })
	return store
}

// newEntries returns entries of a log, with other amounts for each origin.
func newEntries(origin counter.Origin, from, to uint64) (entries []counter.Entry) {
	for sequence := from; sequence <= to; sequence++ {
		entries = append(entries, counter.Entry{
			Origin:   origin,
			Sequence: sequence,
			Operation: counter.Operation{
				ID:      fmt.Sprintf("id-%d-%d", origin, sequence),
				Counter: fmt.Sprint("c", sequence%2),
				Amount:  int64(origin) - int64(sequence),
			},
		})
	}
	return entries
}

func writeEntries(t testing.TB, store *Store, entries ...counter.Entry) {
	t.Helper()
	if err := store.Write(0, entries); err != nil {
		t.Fatal(err)
	}
}

// expectEntries expects entries in the order of Load.
func expectEntries(t testing.TB, store *Store, want ...counter.Entry) {
	t.Helper()
	got, err := store.Load()
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got, cmpopts.EquateEmpty()); diff != "" {
		t.Errorf("stored entries differ (-want +got):\n%s", diff)
	}
}

func TestReopen(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "state")
	store := openStore(t, folder)
	if store.Origin() != ownOrigin || !store.IsNew() {
		t.Fatalf("origin %x, new: %v", store.Origin(), store.IsNew())
	}
	expectEntries(t, store)
	own, other := newEntries(ownOrigin, 1, 12), newEntries(otherOrigin, 1, 3)
	writeEntries(t, store, own[:5]...)
	writeEntries(t, store, append(slices.Clone(other), own[5:]...)...)
	store.Close()
	store = openStore(t, folder)
	if store.Origin() != ownOrigin || store.IsNew() {
		t.Errorf("origin %x, new: %v", store.Origin(), store.IsNew())
	}
	expectEntries(t, store, append(own, other...)...)
}

func TestTextsAreStoredExactly(t *testing.T) {
	folder := t.TempDir()
	store := openStore(t, folder)
	entry := counter.Entry{
		Origin:    otherOrigin,
		Sequence:  1,
		Operation: counter.Operation{ID: "\x00 17\xff", Counter: "ü\n", Amount: -1 << 63},
	}
	writeEntries(t, store, entry)
	store.Close()
	expectEntries(t, openStore(t, folder), entry)
}

func TestNewOrigin(t *testing.T) {
	folder := t.TempDir()
	store := openStore(t, folder)
	writeEntries(t, store, newEntries(ownOrigin, 1, 2)...)
	if err := store.Write(otherOrigin, newEntries(otherOrigin, 1, 1)); err != nil {
		t.Fatal(err)
	}
	if store.Origin() != otherOrigin {
		t.Errorf("origin %x", store.Origin())
	}
	store.Close()
	store = openStore(t, folder)
	if store.Origin() != otherOrigin || store.IsNew() {
		t.Errorf("origin %x, new: %v", store.Origin(), store.IsNew())
	}
	expectEntries(t, store, append(newEntries(ownOrigin, 1, 2), newEntries(otherOrigin, 1, 1)...)...)
}

// TestRepeatedWrite: a write that failed may be on the disk when it is repeated.
func TestRepeatedWrite(t *testing.T) {
	store := openStore(t, t.TempDir())
	writeEntries(t, store, newEntries(ownOrigin, 1, 3)...)
	writeEntries(t, store, newEntries(ownOrigin, 1, 3)...)
	expectEntries(t, store, newEntries(ownOrigin, 1, 3)...)
}

// TestReopenAfterFailures has the writer open the file again.
func TestReopenAfterFailures(t *testing.T) {
	store := openStore(t, t.TempDir())
	writeEntries(t, store, newEntries(ownOrigin, 1, 2)...)
	failTransactions(t, store)
	writeEntries(t, store, newEntries(ownOrigin, 3, 4)...)
	expectEntries(t, store, newEntries(ownOrigin, 1, 4)...)
}

// failTransactions makes so many transactions fail that the file is opened again.
func failTransactions(t *testing.T, store *Store) {
	t.Helper()
	broken := errors.New("broken")
	for range sqlitedb.FailuresBeforeReopen {
		err := store.writer.Submit("fail", func(db *sqlitedb.Database) error {
			if err := appendEntries(db, newEntries(otherOrigin, 1, 9)); err != nil {
				return err
			}
			return broken
		})
		if !errors.Is(err, broken) {
			t.Fatal(err)
		}
	}
}

// TestReplacedDisk: the file is gone when the writer opens it again.
func TestReplacedDisk(t *testing.T) {
	folder := t.TempDir()
	store := openStore(t, folder)
	writeEntries(t, store, newEntries(ownOrigin, 1, 2)...)
	failTransactions(t, store)
	for _, suffix := range append([]string{""}, sqlitedb.SideFiles...) {
		if err := os.Remove(filepath.Join(folder, databaseName+suffix)); err != nil && !errors.Is(err, os.ErrNotExist) {
			t.Fatal(err)
		}
	}
	var corrupt *sqlitedb.CorruptError
	if err := store.Write(0, newEntries(ownOrigin, 3, 3)); !errors.As(err, &corrupt) {
		t.Errorf("a write to another file: %v", err)
	}
}

// TestFullDisk bounds the file's size, as a full disk does, and lifts the bound again.
func TestFullDisk(t *testing.T) {
	store := openStore(t, t.TempDir())
	writeEntries(t, store, newEntries(ownOrigin, 1, 2)...)
	bound := func(pages int) {
		err := store.writer.Submit("bound the file", func(db *sqlitedb.Database) error {
			return db.Query(fmt.Sprintf("PRAGMA max_page_count=%d", pages), func([]driver.Value) error { return nil })
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	bound(1)
	many := newEntries(ownOrigin, 3, 2000)
	var disk *sqlitedb.DiskError
	if err := store.Write(0, many); !errors.As(err, &disk) || !disk.Full {
		t.Fatal(err)
	}
	expectEntries(t, store, newEntries(ownOrigin, 1, 2)...)
	bound(1 << 20)
	writeEntries(t, store, many...)
	expectEntries(t, store, newEntries(ownOrigin, 1, 2000)...)
}

func TestCorruptFileIsQuarantined(t *testing.T) {
	folder := t.TempDir()
	store := openStore(t, folder)
	writeEntries(t, store, newEntries(ownOrigin, 1, 2)...)
	store.Close()
	spoilt := slices.Repeat([]byte("spoilt, "), 1024)
	if err := os.WriteFile(filepath.Join(folder, databaseName), spoilt, 0o600); err != nil {
		t.Fatal(err)
	}
	store, err := Open(folder, func() counter.Origin { return otherOrigin })
	var corrupt *sqlitedb.CorruptError
	if !errors.As(err, &corrupt) || store == nil {
		t.Fatal(store, err)
	}
	defer store.Close()
	if store.Origin() != otherOrigin || !store.IsNew() {
		t.Errorf("origin %x, new: %v", store.Origin(), store.IsNew())
	}
	kept, err := os.ReadFile(corrupt.MovedTo)
	if err != nil || !slices.Equal(kept, spoilt) {
		t.Error("the corrupt file was not kept", err)
	}
	expectEntries(t, store)
}

func TestDiscard(t *testing.T) {
	folder := t.TempDir()
	store := openStore(t, folder)
	writeEntries(t, store, newEntries(ownOrigin, 5, 6)...) // a gap, which the caller finds
	if err := store.Discard(); err != nil {
		t.Fatal(err)
	}
	store = openStore(t, folder)
	if !store.IsNew() {
		t.Error("the discarded file is still in use")
	}
	expectEntries(t, store)
}

func TestOtherSchemaIsRejected(t *testing.T) {
	folder := t.TempDir()
	store := openStore(t, folder)
	err := store.writer.Submit("raise the schema", func(db *sqlitedb.Database) error {
		return db.Exec(replaceMeta, int64(schemaVersion+1), int64(otherOrigin))
	})
	if err != nil {
		t.Fatal(err)
	}
	store.Close()
	_, err = Open(folder, fixedOrigin)
	var other *sqlitedb.SchemaError
	if !errors.As(err, &other) || other.Found != schemaVersion+1 {
		t.Error(err)
	}
}

func TestSecondProcessIsRejected(t *testing.T) {
	folder := t.TempDir()
	writeEntries(t, openStore(t, folder), newEntries(ownOrigin, 1, 1)...)
	_, err := Open(folder, fixedOrigin)
	var inUse *sqlitedb.InUseError
	if !errors.As(err, &inUse) {
		t.Error(err)
	}
}

func TestWriteAfterClose(t *testing.T) {
	store := openStore(t, t.TempDir())
	store.Close()
	if err := store.Write(0, nil); !errors.Is(err, sqlitedb.ErrClosed) {
		t.Error(err)
	}
}

// TestFailingSync has each sync of a name or of an earlier log fail in turn: the file is not used then.
func TestFailingSync(t *testing.T) {
	folder := t.TempDir()
	killed := openStore(t, folder)
	writeEntries(t, killed, newEntries(ownOrigin, 1, 2)...)
	image := readImage(t, folder) // a log is left
	broken := errors.New("broken")
	for name, files := range map[string]diskImage{"a new file": {}, "a killed process": image} {
		syncs := 0
		for failing := 0; failing <= syncs; failing++ {
			at := 0
			store, err := openWithSync(files.writeFolder(t), fixedOrigin, func(string) error {
				at++
				syncs = max(syncs, at)
				if at == failing {
					return broken
				}
				return nil
			})
			if failing == 0 {
				if err != nil || at == 0 {
					t.Fatalf("%s: %d syncs, %v", name, at, err)
				}
				store.Close()
				continue
			}
			var disk *sqlitedb.DiskError
			if !errors.As(err, &disk) || !errors.Is(err, broken) || store != nil {
				t.Errorf("%s: sync %d fails: %v", name, failing, err)
			}
		}
	}
}

func BenchmarkWrite(b *testing.B) {
	store := openStore(b, b.TempDir())
	sequence := uint64(0)
	for b.Loop() {
		sequence++
		writeEntries(b, store, newEntries(ownOrigin, sequence, sequence)...)
	}
}
