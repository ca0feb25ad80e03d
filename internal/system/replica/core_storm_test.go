package replica

import (
	"encoding/binary"
	"fmt"
	"slices"
	"testing"
	"time"

	"cinderroad/internal/system/control/state"
)

const (
	loadStart       = 8 * time.Second // after the founding
	loadWarmup      = 25 * time.Second
	loadInterval    = 100 * time.Millisecond // between two changes
	loadRetryAfter  = 3 * time.Second        // for a change, before the next is tried
	catchUpDeadline = 40 * time.Second       // after what happens

	megabit = 1e6 / 8 // bytes
)

// writeLoadCase is a core under a storm of changes.
type writeLoadCase struct {
	name       string
	machines   int
	routeBytes int     // of each of 500 routes
	bandwidth  float64 // of a machine's link, bytes a second
	limit      time.Duration
	happens    func(s *writeLoad)
}

// writeLoad changes the configuration all the time, a route at once.
type writeLoad struct {
	world           *simulation
	routeBytes      int // of a route
	created         uint64
	proposedVersion uint64        // version that was proposed last
	proposedAt      time.Duration // when
	proposedCommand []byte        // its command

	restarted     *simMachine
	bootedAt      time.Duration
	caughtUpAfter time.Duration // from its boot until it held what the others had agreed on; 0: not yet
	sentBytes     int           // bytes by then
}

func newWriteLoad(seed uint64, c *writeLoadCase) *writeLoad {
	w := newSimulation(seed)
	w.profile.Machines, w.profile.Operators, w.profile.Loss, w.profile.EntryWeight = c.machines, 0, 0, 0
	w.profile.Bandwidth, w.profile.PaddingBytes = c.bandwidth, 0
	w.profile.Delay = w.uniform(5*time.Millisecond, 40*time.Millisecond)
	w.profile.SyncTime = w.uniform(time.Millisecond, 12*time.Millisecond)
	w.faultsEnabled = false
	s := &writeLoad{world: w, routeBytes: c.routeBytes}
	w.bootstrap()
	w.agents = nil
	w.schedule(loadStart, s.proposeNext)
	return s
}

// proposeNext proposes the next change once the one before is in force, and that one again after a while.
func (s *writeLoad) proposeNext() {
	w := s.world
	w.schedule(loadInterval, s.proposeNext)
	s.checkCaughtUp()
	p := w.leader()
	if p == nil || p.state.Version() < s.proposedVersion && w.now-s.proposedAt < loadRetryAfter {
		return
	}
	if p.state.Version() >= s.proposedVersion {
		routes := 1
		if p.state.Version() == 0 {
			routes = loadRoutes
		}
		s.proposedVersion, s.proposedCommand = p.state.Version()+1, s.command(p.state.Version(), routes)
	}
	s.proposedAt = w.now
	p.execute(func() { p.group.propose(p.clock(), s.proposedCommand) })
}

func (s *writeLoad) command(base uint64, routes int) []byte {
	w := s.world
	s.created++
	r := simRequest{base: base, version: base + 1}
	binary.BigEndian.PutUint64(r.digest[:], s.created)
	c := state.CommitConfiguration{BasedOn: r.base, Version: r.version, Digest: r.digest,
		Writes: []state.Write{{Key: ownerKey, Value: r.digest[:]}}}
	for i := range routes {
		value := make([]byte, s.routeBytes)
		binary.BigEndian.PutUint64(value, s.created)
		route := (int(s.created) + i) % loadRoutes
		c.Writes = append(c.Writes, state.Write{Key: fmt.Sprintf("route/%03d", route), Value: value})
	}
	command := c.Encode()
	w.oracle.commands[string(command)] = r
	return command
}

// checkCaughtUp notes when the watched machine holds all but the last changes.
func (s *writeLoad) checkCaughtUp() {
	w := s.world
	if s.restarted == nil || s.restarted.process == nil || s.caughtUpAfter > 0 {
		return
	}
	q := s.restarted.process
	fresh := elapsedSince(q.group.node.Status().CaughtUpAt, q.clock()) < time.Second
	if fresh && q.group.appliedIndex+maxPromotionLag >= w.oracle.appliedIndex {
		s.caughtUpAfter = w.now - s.bootedAt
		s.sentBytes = w.sentBytes - s.sentBytes
	}
}

// follower is a machine that follows, by the storm's drawing.
func (s *writeLoad) follower() *simMachine {
	w := s.world
	for {
		slot := w.randomMachine()
		if p := w.leader(); p == nil || slot != p.slot {
			return slot
		}
	}
}

// restartAfter boots a machine after a while and watches it.
func (s *writeLoad) restartAfter(slot *simMachine, down time.Duration) {
	w := s.world
	w.schedule(down, func() {
		s.restarted, s.bootedAt, s.sentBytes = slot, w.now, w.sentBytes
		w.boot(slot)
	})
}

func (s *writeLoad) wipe(slot *simMachine, down time.Duration) {
	slot.process.kill()
	slot.disk = &simDisk{}
	s.restartAfter(slot, down)
}

func (s *writeLoad) powerCycle(slot *simMachine, down time.Duration) {
	slot.process.kill()
	s.restartAfter(slot, down)
}

// play returns how long the machine took to hold what the others had agreed on, and the bytes sent meanwhile.
func (s *writeLoad) play(t *testing.T, c *writeLoadCase) {
	t.Helper()
	w := s.world
	w.runFor(loadWarmup)
	if w.failure == "" && w.leader() == nil {
		w.fail("nobody leads")
	}
	if w.failure == "" {
		c.happens(s)
		w.runUntil(catchUpDeadline, func() bool { return s.caughtUpAfter > 0 })
	}
	if w.failure == "" && s.caughtUpAfter == 0 {
		w.fail("a machine is not caught up %v after its start", w.now-s.bootedAt)
	}
	if w.failure != "" {
		t.Errorf("%s\nreplay: go test ./internal/system/replica -run '%s' -core.seed %d", w.failure, t.Name(), w.seed)
	}
}

// TestCatchUpUnderWriteLoad: a machine that comes back while the configuration changes ten times a second holds what the
// others agreed on within catch_up_s, however large the configuration is and whatever happens to the sender.
func TestCatchUpUnderWriteLoad(t *testing.T) {
	wiped := func(s *writeLoad) { s.wipe(s.follower(), time.Second) }
	away := func(s *writeLoad) { s.powerCycle(s.follower(), 9*time.Second) }
	leaderLost := func(s *writeLoad) {
		s.wipe(s.follower(), time.Second)
		w := s.world
		w.schedule(2500*time.Millisecond, func() {
			if p := w.leader(); p != nil {
				w.restart(p.slot, time.Minute)
			}
		})
	}
	const small, large = 200, 8 << 10
	cases := []writeLoadCase{
		{"wiped, 100 KB, 10 Mbit", 5, small, 10 * megabit, 4 * time.Second, wiped},
		{"wiped, 4 MB, 30 Mbit", 5, large, 30 * megabit, 4 * time.Second, wiped},
		{"wiped, 4 MB, 10 Mbit", 3, large, 10 * megabit, 6 * time.Second, wiped},
		{"away for 9 s, 4 MB, 10 Mbit", 5, large, 10 * megabit, 4 * time.Second, away},
		{"wiped, then its sender is killed, 4 MB, 30 Mbit", 5, large, 30 * megabit, 6 * time.Second, leaderLost},
	}
	for i := range cases {
		c := &cases[i]
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			seeds := []uint64{*simSeed}
			if *simSeed == 0 {
				seeds = nil
				for seed := uint64(1); seed <= uint64(*loadSeeds); seed++ {
					seeds = append(seeds, seed)
				}
			}
			var times []time.Duration
			var bytes []int
			for _, seed := range seeds {
				s := newWriteLoad(seed, c)
				s.world.verbose = *simSeed != 0
				s.play(t, c)
				times, bytes = append(times, s.caughtUpAfter), append(bytes, s.sentBytes)
			}
			slices.Sort(times)
			slices.Sort(bytes)
			worst := times[len(times)-1]
			t.Logf("caught up after %v at the median of %d runs, %v at worst; %.1f MB sent, %.1f at worst",
				times[len(times)/2], len(times), worst, float64(bytes[len(bytes)/2])/(1<<20), float64(bytes[len(bytes)-1])/(1<<20))
			if worst > c.limit {
				t.Errorf("%v at worst; at most %v", worst, c.limit)
			}
		})
	}
}

// TestSlowLinkDetectsInjectedFaults takes the ways out by which large messages get over thin links, one at a time.
func TestSlowLinkDetectsInjectedFaults(t *testing.T) {
	plants := map[string]func(w *simulation){
		"a message has to be out within the write time-out": func(w *simulation) { w.injected.deadlinePerMessage = true },
		"heartbeats wait behind entries":                    func(w *simulation) { w.injected.singleConnection = true },
	}
	c := &writeLoadCase{machines: 5, routeBytes: 8 << 10, bandwidth: 10 * megabit}
	for name, plant := range plants {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newWriteLoad(1, c)
			plant(s.world)
			s.world.runFor(loadWarmup)
			t.Logf("version %d is in force", s.world.oracle.versionAt(s.world.oracle.appliedIndex))
			if s.world.oracle.appliedIndex > 0 && s.world.oracle.versionAt(s.world.oracle.appliedIndex) > 0 {
				t.Error("not found: a configuration of 4 MB is in force")
			}
		})
	}
}
