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
	lossSeed  = flag.Uint64("loss.seed", 0, "run only this seed of power losses")
	lossSeeds = flag.Int("loss.seeds", 40, "number of seeds of power losses to run")
)

const (
	sectorBytes    = 512
	walHeaderBytes = 32        // of the header of the write-ahead log
	largeDataBytes = 300 << 10 // of an entry; a few of these make SQLite checkpoint its log
	testReplica    = consensus.ReplicaID(77)
)

// allFiles are the suffixes of the files of a store.
var allFiles = append([]string{""}, sideFiles...)

// diskImage is the content of a store's files by suffix; a missing file has no entry.
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

// powerLossTest is a store whose machine loses power, or whose process is killed, at any step of a write. It models
// SQLite's order of writes and syncs: frames are written to the log and synced; only then are pages written to the database
// and synced; only then does the log start over, with a header that is synced before the first frame. What is written
// between two syncs survives or is lost sector by sector.
type powerLossTest struct {
	t         testing.TB
	random    *rand.Rand
	folder    string
	store     *Store
	model     consensus.PersistentState // what the store must hold
	durable   diskImage                 // what a power loss now would leave
	skipsSync bool                      // a planted fault: files of an earlier process are not synced
	failure   string                    // empty: none found
}

func newPowerLossTest(t testing.TB, seed uint64) *powerLossTest {
	t.Helper()
	test := &powerLossTest{t: t, random: rand.New(rand.NewPCG(seed, 5))}
	test.start(t.TempDir())
	if err := test.store.Initialize(testReplica); err != nil {
		t.Fatal(err)
	}
	test.durable = readImage(t, test.folder)
	return test
}

// start opens the store of a folder. Its sync of the write-ahead log makes that log durable.
func (p *powerLossTest) start(folder string) {
	p.t.Helper()
	store, err := openWithSync(folder, func(name string) error {
		if !p.skipsSync && filepath.Base(name) == databaseName+walSuffix {
			content, err := os.ReadFile(name)
			p.durable[walSuffix] = content
			return err
		}
		return nil
	})
	if err != nil {
		p.t.Fatal(err)
	}
	p.store = store
	p.folder = folder
	p.t.Cleanup(func() { store.Close() })
}

// loseSectors draws what a power loss leaves of a file, from its content at the last sync and now.
func (p *powerLossTest) loseSectors(synced, now []byte) []byte {
	if p.random.IntN(4) == 0 {
		return slices.Clone(synced) // all later writes are lost
	}
	left := slices.Clone(synced)
	kept := p.random.Float64()
	for at := 0; at < len(now); at += sectorBytes {
		end := min(at+sectorBytes, len(now))
		if p.random.Float64() >= kept || at < len(left) && bytes.Equal(now[at:end], left[at:min(end, len(left))]) {
			continue
		}
		if len(left) < end {
			left = append(left, make([]byte, end-len(left))...)
		}
		copy(left[at:end], now[at:end])
	}
	return left
}

// loseWAL is loseSectors for the write-ahead log, whose new header is synced before any new frame.
func (p *powerLossTest) loseWAL(synced, now []byte) []byte {
	if len(synced) >= walHeaderBytes && len(now) >= walHeaderBytes && !bytes.Equal(synced[:walHeaderBytes], now[:walHeaderBytes]) {
		if p.random.IntN(4) == 0 {
			return slices.Clone(synced)
		}
		headed := slices.Clone(synced)
		copy(headed[:walHeaderBytes], now)
		synced = headed
	}
	return p.loseSectors(synced, now)
}

// tornWrite draws what a power loss during a write leaves, and whether the write is surely complete.
func (p *powerLossTest) tornWrite(before, after diskImage) (left diskImage, written bool) {
	copying := !bytes.Equal(before[""], after[""])
	if copying && p.random.IntN(2) == 0 {
		return diskImage{"": p.loseSectors(before[""], after[""]), walSuffix: after[walSuffix]}, true
	}
	return diskImage{"": before[""], walSuffix: p.loseWAL(before[walSuffix], after[walSuffix])}, false
}

// nextUpdate draws an update, and what the store must hold after it.
func (p *powerLossTest) nextUpdate() (Update, consensus.PersistentState) {
	next := p.model
	last := next.Snapshot.Index + uint64(len(next.Entries))
	write := Update{Partition: 1}
	if p.random.IntN(3) == 0 {
		hard := consensus.HardState{Term: next.HardState.Term + 1, Vote: consensus.ReplicaID(p.random.Uint64())}
		write.HardState = &hard
		next.HardState = hard
	}
	switch {
	case p.random.IntN(6) == 0 && len(next.Entries) > 1:
		cut := 1 + p.random.IntN(len(next.Entries)-1)
		at := next.Entries[cut-1]
		write.CompactionSnapshot = &consensus.Snapshot{
			Index:      at.Index,
			Term:       at.Term,
			Membership: newMembership(1),
			Data:       p.data(p.random.IntN(2) == 0),
		}
		next.Snapshot = *write.CompactionSnapshot
		next.Entries = next.Entries[cut:]
	case p.random.IntN(10) == 0:
		write.InstalledSnapshot = &consensus.Snapshot{
			Index:      last + 5,
			Term:       next.HardState.Term + 1,
			Membership: newMembership(1, 2),
			Data:       p.data(p.random.IntN(2) == 0),
		}
		next.Snapshot = *write.InstalledSnapshot
		next.Entries = nil
	default:
		keep := len(next.Entries) - min(p.random.IntN(3), len(next.Entries))
		from := next.Snapshot.Index + uint64(keep) + 1
		write.Entries = newEntries(next.HardState.Term+1, from, from+p.random.Uint64N(4))
		write.Entries[0].Data = p.data(p.random.IntN(4) == 0)
		next.Entries = append(slices.Clone(next.Entries[:keep]), write.Entries...)
	}
	next.HardState.Commit = next.Snapshot.Index
	return write, next
}

func (p *powerLossTest) data(large bool) []byte {
	size := 1 + p.random.IntN(2000)
	if large {
		size = largeDataBytes
	}
	data := make([]byte, size)
	for i := range data {
		data[i] = byte(p.random.Uint32())
	}
	return data
}

// storeHolds reports whether the store holds a state, under its identity.
func (p *powerLossTest) storeHolds(want consensus.PersistentState) bool {
	p.t.Helper()
	if id, existed := p.store.Identity(); !existed || id != testReplica {
		p.t.Fatalf("the store is replica %d's, %v", id, existed)
	}
	got := loadState(p.t, p.store, 1)
	sameSnapshot := got.Snapshot.Index == want.Snapshot.Index && bytes.Equal(got.Snapshot.Data, want.Snapshot.Data)
	return got.HardState == want.HardState && sameSnapshot && slices.EqualFunc(got.Entries, want.Entries, sameEntry)
}

func sameEntry(a, b consensus.Entry) bool {
	return a.Index == b.Index && a.Term == b.Term && bytes.Equal(a.Data, b.Data)
}

// step writes an update, and may end the process or the power during it.
func (p *powerLossTest) step() {
	p.t.Helper()
	before := readImage(p.t, p.folder)
	made, next := p.nextUpdate()
	writeUpdates(p.t, p.store, made)
	after := readImage(p.t, p.folder)
	switch p.random.IntN(4) {
	case 0:
		left, written := p.tornWrite(before, after)
		p.resume(left, left, next, written)
	case 1:
		// The process is killed: its writes up to some point are visible, and durable or not.
		visible, written := p.tornWrite(before, after)
		left := visible
		if !written {
			left = diskImage{"": before[""], walSuffix: p.loseWAL(before[walSuffix], visible[walSuffix])}
		}
		p.resume(visible, left, next, written)
	default:
		p.model = next
		p.durable = after
	}
}

// resume starts the store with the files that a process finds, of which some content is durable. The store must hold
// the state before or after the write in flight, and must not lose what it was found to hold.
func (p *powerLossTest) resume(visible, durable diskImage, next consensus.PersistentState, written bool) {
	p.t.Helper()
	p.store.Close()
	p.durable = durable
	p.start(visible.writeFolder(p.t))
	switch {
	case p.storeHolds(next):
		p.model = next
	case written || !p.storeHolds(p.model):
		p.failure = "the store holds neither the state before a write nor the state after it"
	}
	if p.random.IntN(2) == 0 {
		p.store.Close()
		p.start(p.durable.writeFolder(p.t))
		if !p.storeHolds(p.model) {
			p.failure = "what a process had read is lost after a power loss"
		}
	}
	p.durable = readImage(p.t, p.folder)
}

// restart ends the process in order, sometimes with a power loss. The removal of the log survives or not.
func (p *powerLossTest) restart() {
	p.t.Helper()
	before := readImage(p.t, p.folder)
	p.store.Close()
	left := readImage(p.t, p.folder)
	if p.random.IntN(2) == 0 {
		left[walSuffix] = before[walSuffix]
		if p.random.IntN(2) == 0 {
			left[""] = p.loseSectors(before[""], left[""])
		}
	}
	p.resume(left, left, p.model, true)
}

// run returns the first failure.
func (p *powerLossTest) run() string {
	p.t.Helper()
	for step := 0; step < 12 && p.failure == ""; step++ {
		p.step()
		if p.failure == "" && p.random.IntN(8) == 0 {
			p.restart()
		}
	}
	return p.failure
}

// TestPowerLoss: at whatever step of a write a power loss or a kill occurs, the store holds the state before or after
// it, under its identity, and keeps what a process has read since.
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

// TestPlantedPowerLoss omits the sync of an earlier process's log, which the test has to detect.
func TestPlantedPowerLoss(t *testing.T) {
	for seed := uint64(1); seed <= 100; seed++ {
		test := newPowerLossTest(t, seed)
		test.skipsSync = true
		if failure := test.run(); failure != "" {
			t.Logf("seed %d: %s", seed, failure)
			return
		}
	}
	t.Error("not found in 100 seeds")
}

// TestPowerLossDuringQuarantine has a power loss keep or undo each rename since the last sync of the folder. The
// identity never returns without the log's last writes, and a folder that has held a replica says so.
func TestPowerLossDuringQuarantine(t *testing.T) {
	folder := t.TempDir()
	store := openStore(t, folder)
	if err := store.Initialize(testReplica); err != nil {
		t.Fatal(err)
	}
	voted := consensus.PersistentState{HardState: consensus.HardState{Term: 4, Vote: 9}}
	for range 2 { // the identity is in the database, the vote only in its log
		writeUpdates(t, store, Update{Partition: 2, Entries: []consensus.Entry{{Index: 1, Term: 1, Data: make([]byte, 2<<20)}}})
	}
	writeUpdates(t, store, Update{Partition: 1, HardState: &voted.HardState})
	killed := readImage(t, folder)
	aside := killed.writeFolder(t)
	synced := []diskImage{killed}
	moving := &Store{
		path: filepath.Join(aside, databaseName),
		syncPath: func(string) error {
			synced = append(synced, readImage(t, aside))
			return nil
		},
	}
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
				t.Errorf("the folder counts as one without a predecessor: %d files", len(left))
			}
			store.Close()
		}
	}
}

// tornRenames returns all outcomes of the renames between two syncs of a folder.
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

// TestDatabaseFileLost: the database is missing and its log exists, as after a power loss before the database's name
// was synced. The replica starts anew.
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
		t.Errorf("replica %d, %v; has a predecessor: %v", id, existed, store.HasPredecessor())
	}
	if _, found, err := store.Load(1); found || err != nil {
		t.Error(found, err)
	}
}

// TestNoSharedMemory: the index of the log is in the memory of the process, after a restart as well.
func TestNoSharedMemory(t *testing.T) {
	folder := t.TempDir()
	for range 2 {
		store := openStore(t, folder)
		writeUpdates(t, store, Update{Partition: 1, Entries: newEntries(1, 1, 2)})
		if found, err := pathExists(filepath.Join(folder, databaseName+"-shm")); found || err != nil {
			t.Error("a shared memory file exists", err)
		}
		store.Close()
	}
}
