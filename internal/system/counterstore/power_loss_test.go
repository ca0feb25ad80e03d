package counterstore

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"cinderroad/internal/system/counter"
	"cinderroad/internal/system/sqlitedb"
)

const (
	sectorBytes  = 512
	lossSeeds    = 30
	writesOfSeed = 12
)

// diskImage is the content of the database and of its write-ahead log, by suffix; a missing file has no entry.
type diskImage map[string][]byte

func readImage(t testing.TB, folder string) diskImage {
	t.Helper()
	image := diskImage{}
	for _, suffix := range []string{"", sqlitedb.WALSuffix} {
		content, err := os.ReadFile(filepath.Join(folder, databaseName+suffix))
		if err != nil && !errors.Is(err, os.ErrNotExist) {
			t.Fatal(err)
		}
		if err == nil {
			image[suffix] = content
		}
	}
	return image
}

// writeFolder writes the image into a new folder.
func (i diskImage) writeFolder(t testing.TB) string {
	t.Helper()
	folder := t.TempDir()
	for suffix, content := range i {
		if err := os.WriteFile(filepath.Join(folder, databaseName+suffix), content, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return folder
}

// keepSectors draws what a power loss leaves of the writes that made a file grow from one content to another.
func keepSectors(random *rand.Rand, before, after []byte) []byte {
	left := slices.Clone(before)
	share := random.Float64()
	for at := 0; at < len(after); at += sectorBytes {
		end := min(at+sectorBytes, len(after))
		if random.Float64() >= share {
			continue
		}
		if len(left) < end {
			left = append(left, make([]byte, end-len(left))...)
		}
		copy(left[at:end], after[at:end])
	}
	return left
}

// TestPowerLoss loses sectors of the log that were written since the last sync: the store has the entries from before the
// write or from after it, under its origin, and still has what a process has read after another power loss.
func TestPowerLoss(t *testing.T) {
	for seed := range uint64(lossSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			testPowerLoss(t, rand.New(rand.NewPCG(seed, 1)))
		})
	}
}

func testPowerLoss(t *testing.T, random *rand.Rand) {
	folder := t.TempDir()
	store := openStore(t, folder)
	var entries []counter.Entry
	for range writesOfSeed {
		before := readImage(t, folder)
		first := uint64(len(entries)) + 1
		last := first + random.Uint64N(200)
		writeEntries(t, store, newEntries(ownOrigin, first, last)...)
		after := readImage(t, folder)
		if bytes.Equal(before[""], after[""]) { // no checkpoint, which follows the sync
			log := keepSectors(random, before[sqlitedb.WALSuffix], after[sqlitedb.WALSuffix])
			left := diskImage{"": before[""], sqlitedb.WALSuffix: log}
			checkAfterLoss(t, left, entries, newEntries(ownOrigin, 1, last))
		} else { // the checkpoint is lost in part
			left := diskImage{"": keepSectors(random, before[""], after[""]), sqlitedb.WALSuffix: after[sqlitedb.WALSuffix]}
			checkAfterLoss(t, left, newEntries(ownOrigin, 1, last), newEntries(ownOrigin, 1, last))
		}
		entries = newEntries(ownOrigin, 1, last)
	}
}

// checkAfterLoss opens what a power loss has left, which must have the entries from before or from after a write.
func checkAfterLoss(t *testing.T, left diskImage, before, after []counter.Entry) {
	t.Helper()
	store := openStore(t, left.writeFolder(t))
	defer store.Close()
	got, err := store.Load()
	if err != nil {
		t.Fatal(err)
	}
	if store.Origin() != ownOrigin || store.IsNew() {
		t.Errorf("origin %x, new: %v", store.Origin(), store.IsNew())
	}
	if !cmp.Equal(got, before) && !cmp.Equal(got, after) {
		t.Errorf("%d entries, neither the %d from before a write nor the %d from after it", len(got), len(before), len(after))
	}
}

// TestLogOfKilledProcessIsSynced: what a process has read of an earlier one's log is durable before it is read.
func TestLogOfKilledProcessIsSynced(t *testing.T) {
	folder := t.TempDir()
	killed := openStore(t, folder)
	writeEntries(t, killed, newEntries(ownOrigin, 1, 3)...)
	found := readImage(t, folder)
	var synced []string
	store, err := openWithSync(found.writeFolder(t), fixedOrigin, func(name string) error {
		synced = append(synced, filepath.Base(name))
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	if len(synced) == 0 || synced[0] != databaseName+sqlitedb.WALSuffix {
		t.Errorf("synced before reading: %q", synced)
	}
	expectEntries(t, store, newEntries(ownOrigin, 1, 3)...)
}

// TestTornWAL truncates and corrupts what was written after the last sync: everything before is still there.
func TestTornWAL(t *testing.T) {
	folder := t.TempDir()
	store := openStore(t, folder)
	writeEntries(t, store, newEntries(ownOrigin, 1, 3)...)
	synced := readImage(t, folder)
	writeEntries(t, store, newEntries(ownOrigin, 4, 6)...)
	later := readImage(t, folder)
	from, log := len(synced[sqlitedb.WALSuffix]), later[sqlitedb.WALSuffix]
	for cut := from; cut < len(log); cut += 97 {
		torn := slices.Clone(log[:cut])
		for i := from + (cut-from)/2; i < cut; i++ {
			torn[i] ^= 0x55
		}
		left := diskImage{"": later[""], sqlitedb.WALSuffix: torn}
		expectEntries(t, openStore(t, left.writeFolder(t)), newEntries(ownOrigin, 1, 3)...)
	}
}

// TestDatabaseFileLost: the database is missing and its log exists. The log of operations begins under a new origin.
func TestDatabaseFileLost(t *testing.T) {
	folder := t.TempDir()
	writeEntries(t, openStore(t, folder), newEntries(ownOrigin, 1, 3)...)
	image := readImage(t, folder)
	delete(image, "")
	store, err := Open(image.writeFolder(t), func() counter.Origin { return otherOrigin })
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	if store.Origin() != otherOrigin || !store.IsNew() {
		t.Errorf("origin %x, new: %v", store.Origin(), store.IsNew())
	}
	expectEntries(t, store)
}
