package storage

import (
	"database/sql/driver"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"cinderroad/internal/system/consensus"
	"cinderroad/internal/system/feed"
)

func openStore(t testing.TB, folder string) *Store {
	t.Helper()
	store, err := Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { store.Close() })
	return store
}

func newEntries(term uint64, from, to uint64) (all []consensus.Entry) {
	for i := from; i <= to; i++ {
		all = append(all, consensus.Entry{Index: i, Term: term, Data: []byte(fmt.Sprintf("%d/%d", term, i))})
	}
	return all
}

func writeUpdates(t testing.TB, store *Store, updates ...Update) {
	t.Helper()
	if err := store.Write(updates...); err != nil {
		t.Fatal(err)
	}
}

func loadState(t testing.TB, store *Store, partition feed.Partition) consensus.PersistentState {
	t.Helper()
	stored, _, err := store.Load(partition)
	if err != nil {
		t.Fatal(err)
	}
	return stored
}

func expectState(t testing.TB, got, want consensus.PersistentState) {
	t.Helper()
	if diff := cmp.Diff(want, got, cmpopts.EquateEmpty()); diff != "" {
		t.Errorf("stored state differs (-want +got):\n%s", diff)
	}
}

func newMembership(ids ...consensus.ReplicaID) (m consensus.Membership) {
	for _, id := range ids {
		m.Members = append(m.Members, consensus.Member{ID: id, Node: "n", Zone: "z", Address: "10.0.0.1:1", Voter: true})
	}
	return m
}

func TestIdentity(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "state")
	store := openStore(t, folder)
	if _, existed := store.Identity(); existed {
		t.Fatal("an empty folder has an identity")
	}
	if _, found, err := store.Load(0); found || err != nil {
		t.Fatal(found, err)
	}
	const replica = consensus.ReplicaID(1<<63 + 5)
	founding := consensus.Snapshot{Membership: newMembership(replica, 7)}
	if err := store.Initialize(replica, Update{Partition: 2, InstalledSnapshot: &founding}); err != nil {
		t.Fatal(err)
	}
	store.Close()
	store = openStore(t, folder)
	if id, existed := store.Identity(); id != replica || !existed {
		t.Fatal(id, existed)
	}
	expectState(t, loadState(t, store, 2), consensus.PersistentState{Snapshot: founding})
}

func TestReopen(t *testing.T) {
	folder := t.TempDir()
	store := openStore(t, folder)
	hard := consensus.HardState{Term: 3, Vote: 1<<63 + 1, Commit: 1}
	writeUpdates(t, store, Update{Partition: 1, HardState: &hard, Entries: newEntries(3, 1, 4), CommitIndex: 2},
		Update{Partition: 2, Entries: newEntries(1, 1, 1)})
	store.Close()
	store = openStore(t, folder)
	hard.Commit = 2
	expectState(t, loadState(t, store, 1), consensus.PersistentState{HardState: hard, Entries: newEntries(3, 1, 4)})
	expectState(t, loadState(t, store, 2), consensus.PersistentState{Entries: newEntries(1, 1, 1)})
}

// TestKilledProcess copies the files while the store is open, as a kill leaves them.
func TestKilledProcess(t *testing.T) {
	folder := t.TempDir()
	store := openStore(t, folder)
	for i := uint64(1); i <= 50; i++ {
		writeUpdates(t, store, Update{Partition: 1, Entries: newEntries(1, i, i)})
		if i%10 != 0 {
			continue
		}
		copied := t.TempDir()
		for _, suffix := range allFiles {
			content, err := os.ReadFile(filepath.Join(folder, databaseName+suffix))
			if errors.Is(err, os.ErrNotExist) {
				continue
			}
			if err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(filepath.Join(copied, databaseName+suffix), content, 0o600); err != nil {
				t.Fatal(err)
			}
		}
		expectState(t, loadState(t, openStore(t, copied), 1), consensus.PersistentState{Entries: newEntries(1, 1, i)})
	}
}

// TestTornWAL truncates and corrupts what was written after the last sync: everything before is still there.
func TestTornWAL(t *testing.T) {
	folder := t.TempDir()
	store := openStore(t, folder)
	writeUpdates(t, store, Update{Partition: 1, Entries: newEntries(1, 1, 3)})
	log := filepath.Join(folder, databaseName+"-wal")
	synced, err := os.ReadFile(log)
	if err != nil {
		t.Fatal(err)
	}
	writeUpdates(t, store, Update{Partition: 1, Entries: newEntries(1, 4, 6)})
	later, err := os.ReadFile(log)
	if err != nil {
		t.Fatal(err)
	}
	main, err := os.ReadFile(filepath.Join(folder, databaseName))
	if err != nil {
		t.Fatal(err)
	}
	for cut := len(synced); cut < len(later); cut += 97 {
		torn := slices.Clone(later[:cut])
		for i := len(synced) + (cut-len(synced))/2; i < cut; i++ {
			torn[i] ^= 0x55
		}
		copied := t.TempDir()
		if err := os.WriteFile(filepath.Join(copied, databaseName), main, 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(copied, databaseName+"-wal"), torn, 0o600); err != nil {
			t.Fatal(err)
		}
		expectState(t, loadState(t, openStore(t, copied), 1), consensus.PersistentState{Entries: newEntries(1, 1, 3)})
	}
}

func TestOverwrite(t *testing.T) {
	store := openStore(t, t.TempDir())
	writeUpdates(t, store, Update{Partition: 1, Entries: newEntries(1, 1, 9)}, Update{Partition: 2, Entries: newEntries(1, 1, 2)},
		Update{Partition: 0, Entries: newEntries(1, 1, 2)})
	writeUpdates(t, store, Update{Partition: 1, Entries: newEntries(2, 5, 6)})
	expectState(t, loadState(t, store, 1), consensus.PersistentState{Entries: append(newEntries(1, 1, 4), newEntries(2, 5, 6)...)})
	expectState(t, loadState(t, store, 0), consensus.PersistentState{Entries: newEntries(1, 1, 2)})
	expectState(t, loadState(t, store, 2), consensus.PersistentState{Entries: newEntries(1, 1, 2)})
}

func TestCompactAndInstall(t *testing.T) {
	store := openStore(t, t.TempDir())
	writeUpdates(t, store, Update{Partition: 1, Entries: newEntries(1, 1, 9)})
	snapshot := consensus.Snapshot{Index: 6, Term: 1, Membership: newMembership(1), Data: []byte("six")}
	writeUpdates(t, store, Update{Partition: 1, CompactionSnapshot: &snapshot})
	hard := consensus.HardState{Commit: 6}
	expectState(t, loadState(t, store, 1), consensus.PersistentState{HardState: hard, Snapshot: snapshot, Entries: newEntries(1, 7, 9)})
	installed := consensus.Snapshot{Index: 20, Term: 2, Membership: newMembership(1, 2), Data: []byte("twenty")}
	writeUpdates(t, store, Update{Partition: 1, InstalledSnapshot: &installed, Entries: newEntries(2, 21, 22)})
	hard.Commit = 20
	expectState(t, loadState(t, store, 1), consensus.PersistentState{HardState: hard, Snapshot: installed, Entries: newEntries(2, 21, 22)})
}

// TestGroupCommit writes from many goroutines: the writer commits all waiting requests in one transaction.
func TestGroupCommit(t *testing.T) {
	store := openStore(t, t.TempDir())
	const writers = 3 * maxQueuedRequests
	hold, held := make(chan struct{}), make(chan struct{})
	go store.submit("hold the writer", func(*database) error {
		close(held)
		<-hold
		return nil
	})
	<-held
	var all sync.WaitGroup
	for p := range writers {
		all.Add(1)
		go func() {
			defer all.Done()
			if err := store.Write(Update{Partition: feed.Partition(p), Entries: newEntries(1, 1, 1)}); err != nil {
				t.Error(err)
			}
		}()
	}
	close(hold)
	all.Wait()
	for p := range feed.Partition(writers) {
		expectState(t, loadState(t, store, p), consensus.PersistentState{Entries: newEntries(1, 1, 1)})
	}
}

func TestFailedStepIsRolledBack(t *testing.T) {
	store := openStore(t, t.TempDir())
	writeUpdates(t, store, Update{Partition: 1, Entries: newEntries(1, 1, 2)})
	broken := errors.New("broken")
	for range 2 * failuresBeforeReopen {
		err := store.submit("fail", func(db *database) error {
			if err := db.appendEntries(1, newEntries(2, 1, 5), 0); err != nil {
				return err
			}
			return broken
		})
		if !errors.Is(err, broken) {
			t.Fatal(err)
		}
		expectState(t, loadState(t, store, 1), consensus.PersistentState{Entries: newEntries(1, 1, 2)})
	}
}

// TestFullDisk bounds the file's size, as a full disk does, and lifts the bound again.
func TestFullDisk(t *testing.T) {
	store := openStore(t, t.TempDir())
	writeUpdates(t, store, Update{Partition: 1, Entries: newEntries(1, 1, 2)})
	bound := func(pages int) {
		err := store.submit("bound the file", func(db *database) error {
			return db.query(fmt.Sprintf("PRAGMA max_page_count=%d", pages), func([]driver.Value) error { return nil })
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	bound(1)
	large := consensus.Entry{Index: 3, Term: 1, Data: make([]byte, 1<<20)}
	err := store.Write(Update{Partition: 1, Entries: []consensus.Entry{large}})
	var disk *DiskError
	if !errors.As(err, &disk) || !disk.Full {
		t.Fatal(err)
	}
	expectState(t, loadState(t, store, 1), consensus.PersistentState{Entries: newEntries(1, 1, 2)})
	bound(1 << 20)
	writeUpdates(t, store, Update{Partition: 1, Entries: []consensus.Entry{large}})
}

func TestCorruptFileIsQuarantined(t *testing.T) {
	folder := t.TempDir()
	store := openStore(t, folder)
	if err := store.Initialize(7); err != nil {
		t.Fatal(err)
	}
	store.Close()
	spoilt := make([]byte, 8192)
	for i := range spoilt {
		spoilt[i] = byte(i * 7)
	}
	name := filepath.Join(folder, databaseName)
	if err := os.WriteFile(name, spoilt, 0o600); err != nil {
		t.Fatal(err)
	}
	store, err := Open(folder)
	var corrupt *CorruptError
	if !errors.As(err, &corrupt) || store == nil {
		t.Fatal(store, err)
	}
	defer store.Close()
	if _, existed := store.Identity(); existed {
		t.Error("the new store has an identity")
	}
	kept, err := os.ReadFile(corrupt.MovedTo)
	if err != nil || !slices.Equal(kept, spoilt) {
		t.Error("the corrupt file was not kept", err)
	}
	writeUpdates(t, store, Update{Partition: 1, Entries: newEntries(1, 1, 2)})
}

// TestCorruptLogNamesTheFile: what only a partition's load finds names the file as well.
func TestCorruptLogNamesTheFile(t *testing.T) {
	store := openStore(t, t.TempDir())
	writeUpdates(t, store, Update{Partition: 1, Entries: newEntries(1, 1, 2)}, Update{Partition: 1, Entries: newEntries(1, 4, 5)})
	_, _, err := store.Load(1)
	var corrupt *CorruptError
	if !errors.As(err, &corrupt) || corrupt.Path != store.path || !strings.Contains(err.Error(), store.path) {
		t.Errorf("a log with a gap: %v", err)
	}
}

func TestSecondProcessIsRejected(t *testing.T) {
	folder := t.TempDir()
	store := openStore(t, folder)
	writeUpdates(t, store, Update{Partition: 1, Entries: newEntries(1, 1, 2)})
	_, err := Open(folder)
	var inUse *InUseError
	if !errors.As(err, &inUse) {
		t.Fatal(err)
	}
}

func TestWriteAfterClose(t *testing.T) {
	store := openStore(t, t.TempDir())
	store.Close()
	if err := store.Write(Update{}); !errors.Is(err, ErrClosed) {
		t.Fatal(err)
	}
}

// TestAgainstModel draws updates, reopens the store at times and compares it with a model in memory.
func TestAgainstModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		folder, err := os.MkdirTemp(t.TempDir(), "")
		if err != nil {
			rt.Fatal(err)
		}
		store := openStore(t, folder)
		defer func() { store.Close() }()
		model := make([]consensus.PersistentState, 3)
		for range rapid.IntRange(1, 20).Draw(rt, "steps") {
			p := rapid.IntRange(0, 2).Draw(rt, "partition")
			w := drawUpdate(rt, &model[p])
			w.Partition = feed.Partition(p)
			writeUpdates(t, store, w)
			if rapid.IntRange(0, 5).Draw(rt, "reopen") == 0 {
				store.Close()
				store = openStore(t, folder)
			}
			for q := range model {
				expectState(t, loadState(t, store, feed.Partition(q)), model[q])
			}
		}
	})
}

// drawUpdate draws an update that a replica might write, and applies it to the model.
func drawUpdate(t *rapid.T, model *consensus.PersistentState) (update Update) {
	last := model.Snapshot.Index + uint64(len(model.Entries))
	term := model.HardState.Term + rapid.Uint64Range(0, 2).Draw(t, "term")
	update.HardState = &consensus.HardState{Term: term, Vote: consensus.ReplicaID(rapid.Uint64().Draw(t, "vote"))}
	switch rapid.IntRange(0, 3).Draw(t, "kind") {
	case 0:
		last += rapid.Uint64Range(1, 9).Draw(t, "ahead")
		update.InstalledSnapshot = &consensus.Snapshot{Index: last, Term: term, Membership: newMembership(1, 2), Data: []byte{1, 2}}
		model.Snapshot = *update.InstalledSnapshot
		model.Entries = nil
	case 1:
		if len(model.Entries) > 0 {
			cut := rapid.IntRange(1, len(model.Entries)).Draw(t, "cut")
			at := model.Entries[cut-1]
			update.CompactionSnapshot = &consensus.Snapshot{Index: at.Index, Term: at.Term, Membership: newMembership(3), Data: []byte{3}}
			model.Snapshot = *update.CompactionSnapshot
			model.Entries = model.Entries[cut:]
		}
	default:
		from := rapid.Uint64Range(model.Snapshot.Index+1, last+1).Draw(t, "from")
		update.Entries = newEntries(term, from, from+rapid.Uint64Range(0, 4).Draw(t, "more"))
		keep := from - model.Snapshot.Index - 1
		model.Entries = append(slices.Clone(model.Entries[:keep]), update.Entries...)
	}
	model.HardState = *update.HardState
	model.HardState.Commit = model.Snapshot.Index
	update.HardState.Commit = model.HardState.Commit
	return update
}

func BenchmarkWrite(b *testing.B) {
	store := openStore(b, b.TempDir())
	data := make([]byte, 300)
	i := uint64(0)
	for b.Loop() {
		i++
		writeUpdates(b, store, Update{Partition: 1, Entries: []consensus.Entry{{Index: i, Term: 1, Data: data}}, CommitIndex: i})
		if i%1000 == 0 {
			snapshot := consensus.Snapshot{Index: i, Term: 1, Membership: newMembership(1)}
			writeUpdates(b, store, Update{Partition: 1, CompactionSnapshot: &snapshot})
		}
	}
}
