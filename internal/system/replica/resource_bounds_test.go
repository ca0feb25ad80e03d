package replica

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime"
	"testing"
	"time"

	"cinderroad/internal/system/consensus"
	"cinderroad/internal/system/control/state"
	"cinderroad/internal/system/feed"
	"cinderroad/internal/system/storage"
)

// Parameters and limits of TestWriteLoadResourceBounds.
const (
	boundChanges      = 5000
	loadRoutes        = 500
	boundRouteBytes   = 8 << 10 // bytes, 4 MB in all
	boundFullChanges  = 20      // first changes, which replace the whole configuration
	boundFullInterval = 1000    // of later changes that replace the whole configuration
	boundBatchChanges = 50      // changes that share a write

	maxDiskBytes = 40 << 20 // of all files of the store
	maxHeapBytes = 24 << 20 // of state, log and snapshots, between two changes
)

// singleVoterGroup is a group with a single voter over a store on a real disk, with the configuration as its state
// machine.
type singleVoterGroup struct {
	t       *testing.T
	random  *rand.Rand
	folder  string
	store   *storage.Store
	state   *state.Configuration
	group   *group
	now     time.Duration
	jobs    []writeJob
	version uint64
}

func newSingleVoterGroup(t *testing.T) *singleVoterGroup {
	t.Helper()
	single := &singleVoterGroup{t: t, random: rand.New(rand.NewPCG(1, 1)), folder: t.TempDir()}
	founders := consensus.Snapshot{Membership: consensus.Membership{
		Members: []consensus.Member{{ID: 1, Node: "core-0", Zone: "zone-0", Address: "127.0.0.1:1", Voter: true}}}}
	single.open()
	if err := single.store.Initialize(1, storage.Update{InstalledSnapshot: &founders}); err != nil {
		t.Fatal(err)
	}
	single.start()
	return single
}

func (s *singleVoterGroup) open() {
	s.t.Helper()
	store, err := storage.Open(s.folder)
	if err != nil {
		s.t.Fatal(err)
	}
	s.store = store
	s.t.Cleanup(func() { store.Close() })
}

// start creates the group from what the store has and lets it become leader.
func (s *singleVoterGroup) start() {
	s.t.Helper()
	stored, _, err := s.store.Load(feed.ConfigurationPartition)
	if err != nil {
		s.t.Fatal(err)
	}
	s.state = state.NewConfiguration(func() time.Duration { return s.now }, func() {})
	s.group = newGroup(feed.ConfigurationPartition, s.state)
	if err := s.group.start(s.now, nodeOptions(1, 1, defaultHeartbeatInterval, defaultElectionTimeout), stored); err != nil {
		s.t.Fatal(err)
	}
	for s.group.node.Role() != consensus.Leader {
		s.now = max(s.now, s.group.node.NextTick())
		s.group.node.Tick(s.now)
		s.processReady()
	}
	s.version = s.state.Version()
}

func (s *singleVoterGroup) send(*group, []consensus.Message) {}

func (s *singleVoterGroup) enqueueWrite(j writeJob) { s.jobs = append(s.jobs, j) }

func (s *singleVoterGroup) processReady() {
	s.t.Helper()
	for more := true; more; {
		if err := s.group.processReady(s); err != nil {
			s.t.Fatal(err)
		}
		jobs := s.jobs
		s.jobs = nil
		if writes := durableWrites(jobs); len(writes) > 0 {
			if err := s.store.Write(writes...); err != nil {
				s.t.Fatal(err)
			}
		}
		for i := range jobs {
			s.group.handlePersisted(&jobs[i], s)
		}
		more = len(jobs) > 0
	}
}

// proposeChange proposes the next version of the configuration, with new values for some routes.
func (s *singleVoterGroup) proposeChange(routes int) {
	s.t.Helper()
	command := state.CommitConfiguration{BaseVersion: s.version, Version: s.version + 1}
	for i := range command.Digest {
		command.Digest[i] = byte(s.random.Uint32())
	}
	for _, route := range s.random.Perm(loadRoutes)[:routes] {
		value := make([]byte, boundRouteBytes)
		for i := 0; i < len(value); i += 8 {
			value[i] = byte(s.random.Uint32())
		}
		command.Writes = append(command.Writes, state.Write{Key: fmt.Sprintf("route/%d", route), Value: value})
	}
	if s.group.propose(s.now, command.Encode()) == nil {
		s.t.Fatal("the group does not lead")
	}
	s.version++
}

func (s *singleVoterGroup) diskBytes() (bytes int64) {
	s.t.Helper()
	names, err := filepath.Glob(filepath.Join(s.folder, "*"))
	if err != nil {
		s.t.Fatal(err)
	}
	for _, name := range names {
		info, err := os.Stat(name)
		if err != nil {
			s.t.Fatal(err)
		}
		bytes += info.Size()
	}
	return bytes
}

func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// TestWriteLoadResourceBounds checks that log, snapshots, disk and memory stay bounded through thousands of changes
// of a large configuration, all of which is replaced now and then. It must not run in parallel with tests whose
// memory would count.
func TestWriteLoadResourceBounds(t *testing.T) {
	before := heapBytes()
	single := newSingleVoterGroup(t)
	var mostDisk, mostHeap int64
	for i := 0; i < boundChanges; i++ {
		if i < boundFullChanges || i%boundFullInterval == 0 {
			single.proposeChange(loadRoutes)
			single.processReady()
		} else {
			single.proposeChange(1)
		}
		if i%boundBatchChanges == boundBatchChanges-1 {
			single.processReady()
			mostDisk = max(mostDisk, single.diskBytes())
		}
		if i == boundFullChanges || i%boundFullInterval == boundFullInterval-1 {
			mostHeap = max(mostHeap, heapBytes()-before)
		}
	}
	single.processReady()
	t.Logf("%d changes: at most %.1f MB on disk, %.1f MB of memory", boundChanges, float64(mostDisk)/(1<<20),
		float64(mostHeap)/(1<<20))
	if mostDisk > maxDiskBytes || mostHeap > maxHeapBytes {
		t.Errorf("%d bytes on disk, at most %d; %d of memory, at most %d", mostDisk, maxDiskBytes, mostHeap, maxHeapBytes)
	}
	if single.state.Version() != single.version {
		t.Errorf("version %d is current, not %d", single.state.Version(), single.version)
	}
}
