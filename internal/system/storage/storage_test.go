package storage

import (
	"database/sql/driver"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"cinderroad/internal/system/consensus"
	"cinderroad/internal/system/feed"
)

func open(t testing.TB, folder string) *Store {
	t.Helper()
	s, err := Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return s
}

func entries(term uint64, from, to uint64) (all []consensus.Entry) {
	for i := from; i <= to; i++ {
		all = append(all, consensus.Entry{Index: i, Term: term, Data: []byte(fmt.Sprintf("%d/%d", term, i))})
	}
	return all
}

func write(t testing.TB, s *Store, writes ...Update) {
	t.Helper()
	if err := s.Write(writes...); err != nil {
		t.Fatal(err)
	}
}

func load(t testing.TB, s *Store, partition feed.Partition) consensus.PersistentState {
	t.Helper()
	stored, _, err := s.Load(partition)
	if err != nil {
		t.Fatal(err)
	}
	return stored
}

func expect(t testing.TB, got, want consensus.PersistentState) {
	t.Helper()
	if diff := cmp.Diff(want, got, cmpopts.EquateEmpty()); diff != "" {
		t.Errorf("stored state differs (-want +got):\n%s", diff)
	}
}

func membership(ids ...consensus.ReplicaID) (m consensus.Membership) {
	for _, id := range ids {
		m.Members = append(m.Members, consensus.Member{ID: id, Node: "n", Zone: "z", Address: "10.0.0.1:1", Voter: true})
	}
	return m
}

func TestIdentity(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "state")
	s := open(t, folder)
	if _, existed := s.Identity(); existed {
		t.Fatal("an empty folder has an identity")
	}
	if _, found, err := s.Load(0); found || err != nil {
		t.Fatal(found, err)
	}
	const replica = consensus.ReplicaID(1<<63 + 5)
	founding := consensus.Snapshot{Membership: membership(replica, 7)}
	if err := s.Initialize(replica, Update{Partition: 2, InstalledSnapshot: &founding}); err != nil {
		t.Fatal(err)
	}
	s.Close()
	s = open(t, folder)
	if id, existed := s.Identity(); id != replica || !existed {
		t.Fatal(id, existed)
	}
	expect(t, load(t, s, 2), consensus.PersistentState{Snapshot: founding})
}

func TestReopen(t *testing.T) {
	folder := t.TempDir()
	s := open(t, folder)
	hard := consensus.HardState{Term: 3, Vote: 1<<63 + 1, Commit: 1}
	write(t, s, Update{Partition: 1, HardState: &hard, Entries: entries(3, 1, 4), CommitIndex: 2},
		Update{Partition: 2, Entries: entries(1, 1, 1)})
	s.Close()
	s = open(t, folder)
	hard.Commit = 2
	expect(t, load(t, s, 1), consensus.PersistentState{HardState: hard, Entries: entries(3, 1, 4)})
	expect(t, load(t, s, 2), consensus.PersistentState{Entries: entries(1, 1, 1)})
}

// TestKilled copies the files as they stand while the store is open, as a kill leaves them.
func TestKilled(t *testing.T) {
	folder := t.TempDir()
	s := open(t, folder)
	for i := uint64(1); i <= 50; i++ {
		write(t, s, Update{Partition: 1, Entries: entries(1, i, i)})
		if i%10 != 0 {
			continue
		}
		copied := t.TempDir()
		for _, suffix := range allFiles {
			content, err := os.ReadFile(filepath.Join(folder, fileName+suffix))
			if errors.Is(err, os.ErrNotExist) {
				continue
			}
			if err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(filepath.Join(copied, fileName+suffix), content, 0o600); err != nil {
				t.Fatal(err)
			}
		}
		expect(t, load(t, open(t, copied), 1), consensus.PersistentState{Entries: entries(1, 1, i)})
	}
}

// TestTornLog cuts and spoils what was written after the last sync: everything up to it is still there.
func TestTornLog(t *testing.T) {
	folder := t.TempDir()
	s := open(t, folder)
	write(t, s, Update{Partition: 1, Entries: entries(1, 1, 3)})
	log := filepath.Join(folder, fileName+"-wal")
	synced, err := os.ReadFile(log)
	if err != nil {
		t.Fatal(err)
	}
	write(t, s, Update{Partition: 1, Entries: entries(1, 4, 6)})
	later, err := os.ReadFile(log)
	if err != nil {
		t.Fatal(err)
	}
	main, err := os.ReadFile(filepath.Join(folder, fileName))
	if err != nil {
		t.Fatal(err)
	}
	for cut := len(synced); cut < len(later); cut += 97 {
		torn := slices.Clone(later[:cut])
		for i := len(synced) + (cut-len(synced))/2; i < cut; i++ {
			torn[i] ^= 0x55
		}
		copied := t.TempDir()
		if err := os.WriteFile(filepath.Join(copied, fileName), main, 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(copied, fileName+"-wal"), torn, 0o600); err != nil {
			t.Fatal(err)
		}
		expect(t, load(t, open(t, copied), 1), consensus.PersistentState{Entries: entries(1, 1, 3)})
	}
}

func TestOverwrite(t *testing.T) {
	s := open(t, t.TempDir())
	write(t, s, Update{Partition: 1, Entries: entries(1, 1, 9)}, Update{Partition: 2, Entries: entries(1, 1, 2)},
		Update{Partition: 0, Entries: entries(1, 1, 2)})
	write(t, s, Update{Partition: 1, Entries: entries(2, 5, 6)})
	expect(t, load(t, s, 1), consensus.PersistentState{Entries: append(entries(1, 1, 4), entries(2, 5, 6)...)})
	expect(t, load(t, s, 0), consensus.PersistentState{Entries: entries(1, 1, 2)})
	expect(t, load(t, s, 2), consensus.PersistentState{Entries: entries(1, 1, 2)})
}

func TestCompactAndInstall(t *testing.T) {
	s := open(t, t.TempDir())
	write(t, s, Update{Partition: 1, Entries: entries(1, 1, 9)})
	snapshot := consensus.Snapshot{Index: 6, Term: 1, Membership: membership(1), Data: []byte("six")}
	if err := s.Compact(1, &snapshot); err != nil {
		t.Fatal(err)
	}
	hard := consensus.HardState{Commit: 6}
	expect(t, load(t, s, 1), consensus.PersistentState{HardState: hard, Snapshot: snapshot, Entries: entries(1, 7, 9)})
	installed := consensus.Snapshot{Index: 20, Term: 2, Membership: membership(1, 2), Data: []byte("twenty")}
	write(t, s, Update{Partition: 1, InstalledSnapshot: &installed, Entries: entries(2, 21, 22)})
	hard.Commit = 20
	expect(t, load(t, s, 1), consensus.PersistentState{HardState: hard, Snapshot: installed, Entries: entries(2, 21, 22)})
}

// TestGroupCommit has many write at once: the writer carries out all that wait in one transaction.
func TestGroupCommit(t *testing.T) {
	s := open(t, t.TempDir())
	const writers = 3 * queueLength
	hold, held := make(chan struct{}), make(chan struct{})
	go s.do("hold the writer", func(*file) error {
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
			if err := s.Write(Update{Partition: feed.Partition(p), Entries: entries(1, 1, 1)}); err != nil {
				t.Error(err)
			}
		}()
	}
	close(hold)
	all.Wait()
	for p := range feed.Partition(writers) {
		expect(t, load(t, s, p), consensus.PersistentState{Entries: entries(1, 1, 1)})
	}
}

func TestFailedStepIsUndone(t *testing.T) {
	s := open(t, t.TempDir())
	write(t, s, Update{Partition: 1, Entries: entries(1, 1, 2)})
	broken := errors.New("broken")
	for range 2 * reopenAfter {
		err := s.do("fail", func(f *file) error {
			if err := f.append(1, entries(2, 1, 5), 0); err != nil {
				return err
			}
			return broken
		})
		if !errors.Is(err, broken) {
			t.Fatal(err)
		}
		expect(t, load(t, s, 1), consensus.PersistentState{Entries: entries(1, 1, 2)})
	}
}

// TestFullDisk bounds the file's size, as a full disk does, and has it work again.
func TestFullDisk(t *testing.T) {
	s := open(t, t.TempDir())
	write(t, s, Update{Partition: 1, Entries: entries(1, 1, 2)})
	bound := func(pages int) {
		err := s.do("bound the file", func(f *file) error {
			return f.query(fmt.Sprintf("PRAGMA max_page_count=%d", pages), func([]driver.Value) error { return nil })
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	bound(1)
	large := consensus.Entry{Index: 3, Term: 1, Data: make([]byte, 1<<20)}
	err := s.Write(Update{Partition: 1, Entries: []consensus.Entry{large}})
	var disk *DiskError
	if !errors.As(err, &disk) || !disk.Full {
		t.Fatal(err)
	}
	expect(t, load(t, s, 1), consensus.PersistentState{Entries: entries(1, 1, 2)})
	bound(1 << 20)
	write(t, s, Update{Partition: 1, Entries: []consensus.Entry{large}})
}

func TestCorruptFileIsMovedAside(t *testing.T) {
	folder := t.TempDir()
	s := open(t, folder)
	if err := s.Initialize(7); err != nil {
		t.Fatal(err)
	}
	s.Close()
	spoilt := make([]byte, 8192)
	for i := range spoilt {
		spoilt[i] = byte(i * 7)
	}
	name := filepath.Join(folder, fileName)
	if err := os.WriteFile(name, spoilt, 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := Open(folder)
	var corrupt *CorruptError
	if !errors.As(err, &corrupt) || s == nil {
		t.Fatal(s, err)
	}
	defer s.Close()
	if _, existed := s.Identity(); existed {
		t.Error("the new store has an identity")
	}
	kept, err := os.ReadFile(corrupt.MovedTo)
	if err != nil || !slices.Equal(kept, spoilt) {
		t.Error("the corrupt file was not kept", err)
	}
	write(t, s, Update{Partition: 1, Entries: entries(1, 1, 2)})
}

func TestOneProcessOnly(t *testing.T) {
	folder := t.TempDir()
	s := open(t, folder)
	write(t, s, Update{Partition: 1, Entries: entries(1, 1, 2)})
	_, err := Open(folder)
	var inUse *InUseError
	if !errors.As(err, &inUse) {
		t.Fatal(err)
	}
}

func TestClosed(t *testing.T) {
	s := open(t, t.TempDir())
	s.Close()
	var closed *ClosedError
	if err := s.Write(Update{}); !errors.As(err, &closed) {
		t.Fatal(err)
	}
}

// TestAgainstModel draws writes, reopening now and then, and compares with a model in memory.
func TestAgainstModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		folder, err := os.MkdirTemp(t.TempDir(), "")
		if err != nil {
			rt.Fatal(err)
		}
		s := open(t, folder)
		defer func() { s.Close() }()
		model := make([]consensus.PersistentState, 3)
		for range rapid.IntRange(1, 20).Draw(rt, "steps") {
			p := rapid.IntRange(0, 2).Draw(rt, "partition")
			w := drawWrite(rt, &model[p])
			w.Partition = feed.Partition(p)
			write(t, s, w)
			if rapid.IntRange(0, 5).Draw(rt, "reopen") == 0 {
				s.Close()
				s = open(t, folder)
			}
			for q := range model {
				expect(t, load(t, s, feed.Partition(q)), model[q])
			}
		}
	})
}

// drawWrite draws a write that a replica might make and carries it out on the model.
func drawWrite(t *rapid.T, model *consensus.PersistentState) (w Update) {
	last := model.Snapshot.Index + uint64(len(model.Entries))
	term := model.HardState.Term + rapid.Uint64Range(0, 2).Draw(t, "term")
	w.HardState = &consensus.HardState{Term: term, Vote: consensus.ReplicaID(rapid.Uint64().Draw(t, "vote"))}
	switch rapid.IntRange(0, 3).Draw(t, "kind") {
	case 0:
		last += rapid.Uint64Range(1, 9).Draw(t, "ahead")
		w.InstalledSnapshot = &consensus.Snapshot{Index: last, Term: term, Membership: membership(1, 2), Data: []byte{1, 2}}
		model.Snapshot, model.Entries = *w.InstalledSnapshot, nil
	case 1:
		if len(model.Entries) > 0 {
			cut := rapid.IntRange(1, len(model.Entries)).Draw(t, "cut")
			at := model.Entries[cut-1]
			w.CompactionSnapshot = &consensus.Snapshot{Index: at.Index, Term: at.Term, Membership: membership(3), Data: []byte{3}}
			model.Snapshot, model.Entries = *w.CompactionSnapshot, model.Entries[cut:]
		}
	default:
		from := rapid.Uint64Range(model.Snapshot.Index+1, last+1).Draw(t, "from")
		w.Entries = entries(term, from, from+rapid.Uint64Range(0, 4).Draw(t, "more"))
		keep := from - model.Snapshot.Index - 1
		model.Entries = append(slices.Clone(model.Entries[:keep]), w.Entries...)
	}
	model.HardState = *w.HardState
	model.HardState.Commit = model.Snapshot.Index
	w.HardState.Commit = model.HardState.Commit
	return w
}

func BenchmarkWrite(b *testing.B) {
	s := open(b, b.TempDir())
	data := make([]byte, 300)
	i := uint64(0)
	for b.Loop() {
		i++
		write(b, s, Update{Partition: 1, Entries: []consensus.Entry{{Index: i, Term: 1, Data: data}}, CommitIndex: i})
		if i%1000 == 0 {
			snapshot := consensus.Snapshot{Index: i, Term: 1, Membership: membership(1)}
			write(b, s, Update{Partition: 1, CompactionSnapshot: &snapshot})
		}
	}
}
