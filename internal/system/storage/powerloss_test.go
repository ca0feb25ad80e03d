package storage

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"cinderroad/internal/system/consensus"
)

var (
	lossSeed  = flag.Uint64("loss.seed", 0, "play only this seed of losses of power")
	lossSeeds = flag.Int("loss.seeds", 40, "how many seeds of losses of power are played")
)

const (
	sectorBytes    = 512
	walHeaderBytes = 32        // bytes of the write-ahead log's header, which is synced before any frame after it
	largeDataBytes = 300 << 10 // of an entry; a few have SQLite copy its log into the file
	testReplica    = consensus.ReplicaID(77)
)

// allFiles are the suffixes of the files of a store.
var allFiles = append([]string{""}, sideFiles...)

// diskImage is the content of a store's files by their suffix; one that is not there has no entry.
type diskImage map[string][]byte

func readImage(t testing.TB, folder string) diskImage {
	t.Helper()
	image := diskImage{}
	for _, suffix := range append([]string{quarantineSuffix, quarantineSuffix + walSuffix}, allFiles...) {
		content, err := os.ReadFile(filepath.Join(folder, databaseName+suffix))
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		if err != nil {
			t.Fatal(err)
		}
		image[suffix] = content
	}
	return image
}

// writeFolder writes the image into a folder of its own.
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

// powerLossTest is a store whose machine loses power and whose process is killed at any step of a write. SQLite's order of
// writes and syncs is modelled: frames go to the log and are synced; pages go to the file, only then, and are synced; the
// log begins anew, only then, with a header that is synced before the first frame. What lies between two syncs is kept
// or lost by the sector.
type powerLossTest struct {
	t         testing.TB
	random    *rand.Rand
	folder    string
	store     *Store
	model     consensus.PersistentState
	durable   diskImage // what a loss of power leaves if nothing happens meanwhile
	skipsSync bool      // a planted fault: what an earlier process left is not synced
	failure   string
}

func newPowerLossTest(t testing.TB, seed uint64) *powerLossTest {
	w := &powerLossTest{t: t, random: rand.New(rand.NewPCG(seed, 5))}
	w.start(t.TempDir())
	if err := w.store.Initialize(testReplica); err != nil {
		t.Fatal(err)
	}
	w.durable = readImage(t, w.folder)
	return w
}

// start opens the store of a folder. A sync of its own is noted: it makes the log as it stands durable.
func (w *powerLossTest) start(folder string) {
	w.t.Helper()
	store, err := openWithSync(folder, func(name string) error {
		if !w.skipsSync && filepath.Base(name) == databaseName+walSuffix {
			content, err := os.ReadFile(name)
			w.durable[walSuffix] = content
			return err
		}
		return nil
	})
	if err != nil {
		w.t.Fatal(err)
	}
	w.store, w.folder = store, folder
	w.t.Cleanup(func() { store.Close() })
}

// loseSectors draws what is left of a file that was one thing at its last sync and is another now.
func (w *powerLossTest) loseSectors(synced, now []byte) []byte {
	if w.random.IntN(4) == 0 {
		return slices.Clone(synced) // all later writes are gone
	}
	left := slices.Clone(synced)
	kept := w.random.Float64()
	for at := 0; at < len(now); at += sectorBytes {
		end := min(at+sectorBytes, len(now))
		if w.random.Float64() >= kept || at < len(left) && bytes.Equal(now[at:end], left[at:min(end, len(left))]) {
			continue
		}
		if len(left) < end {
			left = append(left, make([]byte, end-len(left))...)
		}
		copy(left[at:end], now[at:end])
	}
	return left
}

// loseWAL is lose for the log, whose new header is on the disk before any new frame.
func (w *powerLossTest) loseWAL(synced, now []byte) []byte {
	if len(synced) >= walHeaderBytes && len(now) >= walHeaderBytes && !bytes.Equal(synced[:walHeaderBytes], now[:walHeaderBytes]) {
		if w.random.IntN(4) == 0 {
			return slices.Clone(synced)
		}
		headed := slices.Clone(synced)
		copy(headed[:walHeaderBytes], now)
		synced = headed
	}
	return w.loseSectors(synced, now)
}

// tornWrite is what a loss of power leaves in the middle of a write, and whether the write is surely there.
func (w *powerLossTest) tornWrite(before, after diskImage) (left diskImage, written bool) {
	copying := !bytes.Equal(before[""], after[""])
	if copying && w.random.IntN(2) == 0 {
		return diskImage{"": w.loseSectors(before[""], after[""]), walSuffix: after[walSuffix]}, true
	}
	return diskImage{"": before[""], walSuffix: w.loseWAL(before[walSuffix], after[walSuffix])}, false
}

// nextUpdate draws a write and what the store holds after it.
func (w *powerLossTest) nextUpdate() (Update, consensus.PersistentState) {
	next := w.model
	last := next.Snapshot.Index + uint64(len(next.Entries))
	write := Update{Partition: 1}
	if w.random.IntN(3) == 0 {
		hard := consensus.HardState{Term: next.HardState.Term + 1, Vote: consensus.ReplicaID(w.random.Uint64())}
		write.HardState, next.HardState = &hard, hard
	}
	switch {
	case w.random.IntN(6) == 0 && len(next.Entries) > 1:
		cut := 1 + w.random.IntN(len(next.Entries)-1)
		at := next.Entries[cut-1]
		write.CompactionSnapshot = &consensus.Snapshot{Index: at.Index, Term: at.Term, Membership: newMembership(1),
			Data: w.data(w.random.IntN(2) == 0)}
		next.Snapshot, next.Entries = *write.CompactionSnapshot, next.Entries[cut:]
	case w.random.IntN(10) == 0:
		write.InstalledSnapshot = &consensus.Snapshot{Index: last + 5, Term: next.HardState.Term + 1, Membership: newMembership(1, 2),
			Data: w.data(w.random.IntN(2) == 0)}
		next.Snapshot, next.Entries = *write.InstalledSnapshot, nil
	default:
		keep := len(next.Entries) - min(w.random.IntN(3), len(next.Entries))
		from := next.Snapshot.Index + uint64(keep) + 1
		write.Entries = newEntries(next.HardState.Term+1, from, from+w.random.Uint64N(4))
		write.Entries[0].Data = w.data(w.random.IntN(4) == 0)
		next.Entries = append(slices.Clone(next.Entries[:keep]), write.Entries...)
	}
	next.HardState.Commit = next.Snapshot.Index
	return write, next
}

func (w *powerLossTest) data(large bool) []byte {
	size := 1 + w.random.IntN(2000)
	if large {
		size = largeDataBytes
	}
	data := make([]byte, size)
	for i := range data {
		data[i] = byte(w.random.Uint32())
	}
	return data
}

// storeHolds tells whether the store holds something, under its identity.
func (w *powerLossTest) storeHolds(want consensus.PersistentState) bool {
	w.t.Helper()
	if id, existed := w.store.Identity(); !existed || id != testReplica {
		w.t.Fatalf("the store is replica %d's, %v", id, existed)
	}
	got := loadState(w.t, w.store, 1)
	sameSnapshot := got.Snapshot.Index == want.Snapshot.Index && bytes.Equal(got.Snapshot.Data, want.Snapshot.Data)
	return got.HardState == want.HardState && sameSnapshot && slices.EqualFunc(got.Entries, want.Entries, sameEntry)
}

func sameEntry(a, b consensus.Entry) bool {
	return a.Index == b.Index && a.Term == b.Term && bytes.Equal(a.Data, b.Data)
}

// step makes a write, and may end the process or the power in its middle.
func (w *powerLossTest) step() {
	w.t.Helper()
	before := readImage(w.t, w.folder)
	made, next := w.nextUpdate()
	writeUpdates(w.t, w.store, made)
	after := readImage(w.t, w.folder)
	switch w.random.IntN(4) {
	case 0:
		left, written := w.tornWrite(before, after)
		w.resume(left, left, next, written)
	case 1:
		// The process is killed: its writes up to some place stand, and are on the disk or not.
		visible, written := w.tornWrite(before, after)
		left := visible
		if !written {
			left = diskImage{"": before[""], walSuffix: w.loseWAL(before[walSuffix], visible[walSuffix])}
		}
		w.resume(visible, left, next, written)
	default:
		w.model, w.durable = next, after
	}
}

// resume starts the store with what a process finds, and what of it is on the disk. It holds what was there before the
// write that was under way or what is there after it, and what it is found to hold is not lost any more.
func (w *powerLossTest) resume(visible, durable diskImage, next consensus.PersistentState, written bool) {
	w.t.Helper()
	w.store.Close()
	w.durable = durable
	w.start(visible.writeFolder(w.t))
	switch {
	case w.storeHolds(next):
		w.model = next
	case written || !w.storeHolds(w.model):
		w.failure = "the store holds neither what it held before a write nor what the write made"
	}
	if w.random.IntN(2) == 0 {
		w.store.Close()
		w.start(w.durable.writeFolder(w.t))
		if !w.storeHolds(w.model) {
			w.failure = "what a process had read is gone after a loss of power"
		}
	}
	w.durable = readImage(w.t, w.folder)
}

// restart ends the process as it should, with a loss of power on the way now and then. The log's removal is kept or not.
func (w *powerLossTest) restart() {
	w.t.Helper()
	before := readImage(w.t, w.folder)
	w.store.Close()
	left := readImage(w.t, w.folder)
	if w.random.IntN(2) == 0 {
		left[walSuffix] = before[walSuffix]
		if w.random.IntN(2) == 0 {
			left[""] = w.loseSectors(before[""], left[""])
		}
	}
	w.resume(left, left, w.model, true)
}

// run returns what went wrong.
func (w *powerLossTest) run() string {
	w.t.Helper()
	for step := 0; step < 12 && w.failure == ""; step++ {
		w.step()
		if w.failure == "" && w.random.IntN(8) == 0 {
			w.restart()
		}
	}
	return w.failure
}

// TestPowerLoss: whatever step of a write a loss of power or a kill meets, the store holds the state before or after it,
// under its identity, and what a process has read since does not go.
func TestPowerLoss(t *testing.T) {
	run := func(t *testing.T, seed uint64) {
		if failure := newPowerLossTest(t, seed).run(); failure != "" {
			t.Errorf("%s\nreplay: go test ./internal/system/storage -run TestPowerLoss -loss.seed %d", failure, seed)
		}
	}
	if *lossSeed != 0 {
		run(t, *lossSeed)
		return
	}
	for seed := uint64(1); seed <= uint64(*lossSeeds); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			run(t, seed)
		})
	}
}

// TestPlantedPowerLoss leaves the sync of an earlier process's log out, which has to be found.
func TestPlantedPowerLoss(t *testing.T) {
	for seed := uint64(1); seed <= 100; seed++ {
		w := newPowerLossTest(t, seed)
		w.skipsSync = true
		if failure := w.run(); failure != "" {
			t.Logf("seed %d: %s", seed, failure)
			return
		}
	}
	t.Error("not found in 100 seeds")
}

// TestPowerLossDuringQuarantine has a loss of power keep or lose each rename by itself, up to the sync of the folder. The identity
// never comes back without the log's last writes, and a folder that has had a replica says so.
func TestPowerLossDuringQuarantine(t *testing.T) {
	folder := t.TempDir()
	store := openStore(t, folder)
	if err := store.Initialize(testReplica); err != nil {
		t.Fatal(err)
	}
	voted := consensus.PersistentState{HardState: consensus.HardState{Term: 4, Vote: 9}}
	for range 2 { // the identity is in the file, the vote in the log alone
		writeUpdates(t, store, Update{Partition: 2, Entries: []consensus.Entry{{Index: 1, Term: 1, Data: make([]byte, 2<<20)}}})
	}
	writeUpdates(t, store, Update{Partition: 1, HardState: &voted.HardState})
	killed := readImage(t, folder)
	aside := killed.writeFolder(t)
	synced := []diskImage{killed}
	moving := &Store{path: filepath.Join(aside, databaseName), syncPath: func(string) error {
		synced = append(synced, readImage(t, aside))
		return nil
	}}
	if err := moving.quarantine(); err != nil {
		t.Fatal(err)
	}
	for i := 1; i < len(synced); i++ {
		for _, left := range tornRenames(synced[i-1], synced[i]) {
			store, err := Open(left.writeFolder(t))
			if err != nil {
				t.Fatal(err)
			}
			if _, existed := store.Identity(); existed {
				expectState(t, loadState(t, store, 1), voted)
			} else if !store.HasPredecessor() {
				t.Errorf("the folder counts as one that has had no replica: %d files", len(left))
			}
			store.Close()
		}
	}
}

// tornRenames are all the ways in which the changes of names between two syncs of a folder may be kept or lost.
func tornRenames(before, after diskImage) (all []diskImage) {
	var changed []string
	for suffix := range before {
		if _, is := after[suffix]; !is {
			changed = append(changed, suffix)
		}
	}
	for kept := range 1 << (2 * len(changed)) {
		left := diskImage{}
		for suffix, content := range before {
			left[suffix] = content
		}
		for i, suffix := range changed {
			if kept>>(2*i)&1 != 0 {
				delete(left, suffix)
			}
			if kept>>(2*i)&2 != 0 {
				left[quarantineSuffix+suffix] = after[quarantineSuffix+suffix]
			}
		}
		all = append(all, left)
	}
	return all
}

// TestDatabaseFileLost: the file is gone and its log is there, as where a file's name was never synced. A new life begins.
func TestDatabaseFileLost(t *testing.T) {
	folder := t.TempDir()
	store := openStore(t, folder)
	if err := store.Initialize(testReplica); err != nil {
		t.Fatal(err)
	}
	image := readImage(t, folder)
	delete(image, "")
	store = openStore(t, image.writeFolder(t))
	if id, existed := store.Identity(); existed || !store.HasPredecessor() {
		t.Errorf("replica %d, %v; succeeds another: %v", id, existed, store.HasPredecessor())
	}
	if _, found, err := store.Load(1); found || err != nil {
		t.Error(found, err)
	}
}

// TestNoSharedMemory: the index of the log is in the process's own memory, after a restart as well.
func TestNoSharedMemory(t *testing.T) {
	folder := t.TempDir()
	for range 2 {
		store := openStore(t, folder)
		writeUpdates(t, store, Update{Partition: 1, Entries: newEntries(1, 1, 2)})
		if found, err := pathExists(filepath.Join(folder, databaseName+"-shm")); found || err != nil {
			t.Error("there is a file in shared memory", err)
		}
		store.Close()
	}
}
