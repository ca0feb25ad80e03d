package replica

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"cinderroad/internal/system/consensus"
	"cinderroad/internal/system/processconfig"
	"cinderroad/internal/testkit/eventqueue"
)

// testCatchUp is within what time of its start a machine of the simulated core counts.
const testCatchUp = 4 * time.Second

// coreWorld is a control core in virtual time.
type coreWorld struct {
	seed    uint64
	random  *rand.Rand
	now     time.Duration
	agenda  eventqueue.Agenda
	verbose bool
	failed  string
	faults  bool // they go on
	plant   plant
	profile coreProfile
	losses  int // to be borne at once, 0: 1

	slots  []*coreSlot
	seeds  []netip.AddrPort
	byPort map[netip.AddrPort]*coreSlot
	cuts   map[[2]int]int // one way each: how many faults cut it
	lastAt map[[2]int]time.Duration
	truth  coreTruth
	counts coreCounts
	// sentBytes is what went out over links with a bandwidth.
	sentBytes int
	// longestWait is how long a message waited for such a link, at most.
	longestWait time.Duration

	operators []*coreOperator
	zones     []*zoneOperator
	agents    []*coreAgent
	history   coreHistory
}

// plant are safeguards that are taken out.
type plant struct {
	earlyMessages, sameIdentity, forgetful, staleReads, stubborn bool
	lateOrders, idleOrders                                       bool // of evacuations
	messageDeadline, oneLane                                     bool // see coreLink
}

// coreProfile is what a seed draws about its core.
type coreProfile struct {
	Machines   int
	Delay      time.Duration // of a message, at most
	Near       time.Duration // above 0: machines of two regions are Delay apart, those of one as much as this
	Loss       float64
	SyncTime   time.Duration
	FaultEvery time.Duration // at most
	FaultSpan  time.Duration // at most
	Think      time.Duration // of an operator, at most
	Operators  int
	Weight     int     // by which entries weigh more towards a snapshot
	Bandwidth  float64 // of a machine's way out, bytes a second; 0: no bound
	Padding    int     // bytes that each change has more
}

// Every so many seeds machines have thin links, of so many megabits a second, and changes are large.
const (
	thinLinkSeeds = 4
	thinLink      = 20
)

// coreSlot is a machine: its disk and its process outlive each other.
type coreSlot struct {
	number   int
	settings processconfig.Settings
	disk     *coreDisk
	process  *coreProcess
	offset   time.Duration // of its clock
	rate     float64
	retired  bool // replaced by another machine
}

func newCoreWorld(seed uint64) *coreWorld {
	w := &coreWorld{seed: seed, random: rand.New(rand.NewPCG(seed, 11)), faults: true,
		byPort: map[netip.AddrPort]*coreSlot{}, cuts: map[[2]int]int{}, lastAt: map[[2]int]time.Duration{}}
	w.truth = newCoreTruth()
	w.profile = coreProfile{
		Machines:   []int{1, 2, 3, 3, 3, 4, 5, 5, 5, 6}[w.random.IntN(10)],
		Delay:      w.spread(time.Millisecond, 80*time.Millisecond),
		SyncTime:   w.spread(200*time.Microsecond, 30*time.Millisecond),
		FaultEvery: w.spread(300*time.Millisecond, 5*time.Second),
		FaultSpan:  w.spread(300*time.Millisecond, 6*time.Second),
		Think:      w.spread(100*time.Millisecond, 2*time.Second),
		Operators:  2 + w.random.IntN(3),
		Weight:     minSnapshotLogBytes / (2 + w.random.IntN(30)),
	}
	if w.chance(0.5) {
		w.profile.Loss = 0.1 * w.random.Float64()
	}
	if seed%thinLinkSeeds == 0 {
		w.profile.Bandwidth, w.profile.Padding = thinLink*megabit, bulkThresholdBytes
	}
	return w
}

func (w *coreWorld) chance(p float64) bool { return w.random.Float64() < p }

func (w *coreWorld) between(least, most time.Duration) time.Duration {
	return least + time.Duration(w.random.Int64N(int64(most-least)+1))
}

// spread draws a time whose order of magnitude may be any within a range.
func (w *coreWorld) spread(least, most time.Duration) time.Duration {
	return time.Duration(float64(least) * math.Pow(float64(most)/float64(least), w.random.Float64()))
}

func (w *coreWorld) logf(format string, args ...any) {
	if w.verbose {
		fmt.Printf("%10.4f "+format+"\n", append([]any{w.now.Seconds()}, args...)...)
	}
}

func (w *coreWorld) fail(format string, args ...any) {
	if w.failed == "" {
		w.failed = fmt.Sprintf("seed %d, at %v: ", w.seed, w.now) + fmt.Sprintf(format, args...)
		w.logf("FAILED %s", w.failed)
	}
}

func (w *coreWorld) after(d time.Duration, do func()) { w.agenda.At(float64(w.now+max(d, 0)), do) }

func (w *coreWorld) run(d time.Duration) { w.runUntil(d, func() bool { return false }) }

// runUntil plays until something holds, looked at each half second, or a time from now has passed.
func (w *coreWorld) runUntil(d time.Duration, holds func() bool) {
	end, look := w.now+d, w.now+500*time.Millisecond
	for w.failed == "" {
		at, do, is := w.agenda.Next(float64(end))
		if !is {
			break
		}
		w.now = time.Duration(at)
		w.counts.numbers.steps++
		do()
		if w.now >= look {
			look = w.now + 500*time.Millisecond
			if holds() {
				return
			}
		}
	}
	w.now = end
}

// found starts the machines of a system for the first time, in any order.
func (w *coreWorld) found() {
	for range w.profile.Machines {
		w.addSlot(true)
	}
	for _, s := range w.slots {
		if len(w.seeds) < 3 {
			w.seeds = append(w.seeds, netip.AddrPortFrom(s.settings.IP, 1))
		}
	}
	for _, s := range w.slots {
		s.settings.SeedNodes = w.seeds
		start := w.between(0, 2*time.Second)
		if w.chance(0.1) {
			start += 8 * time.Second
		}
		w.after(start, func() { w.boot(s) })
	}
	for i := range w.profile.Operators {
		w.addOperator(i)
	}
	for _, zone := range []string{"a", "b"} {
		w.addZoneOperator(zone)
	}
	for range 2 {
		w.addAgent()
	}
	w.after(3*time.Second, w.nextFault)
}

func (w *coreWorld) addSlot(first bool) *coreSlot {
	n := len(w.slots)
	s := &coreSlot{number: n, disk: &coreDisk{}, offset: w.between(0, time.Hour), rate: 0.98 + 0.04*w.random.Float64()}
	s.settings = processconfig.Settings{Node: fmt.Sprintf("core-%d", n), IP: netip.AddrFrom4([4]byte{10, 0, 0, byte(n + 1)}),
		Zone: fmt.Sprintf("zone-%d", n%3), FreePorts: processconfig.PortRange{First: 9000, Last: 9015}, SeedNodes: w.seeds,
		FirstBoot: first, SurvivableLosses: processconfig.SurvivableLosses{Machines: max(w.losses, 1), Zones: 1},
		Timing: processconfig.Timing{CatchUp: testCatchUp}}
	w.slots = append(w.slots, s)
	w.byPort[s.address()] = s
	return s
}

// addSuccessor adds a machine that takes another one's place.
func (w *coreWorld) addSuccessor(of *coreSlot) *coreSlot {
	next := w.addSlot(false)
	next.settings.Zone = of.settings.Zone
	return next
}

func (s *coreSlot) address() netip.AddrPort { return controlAddress(&s.settings, s.settings.IP) }

// id is that of the replica on the slot's disk, 0 before there is one.
func (s *coreSlot) id() consensus.ReplicaID { return s.disk.id }

// inUse are the machines that have not been replaced.
func (w *coreWorld) inUse() (slots []*coreSlot) {
	for _, s := range w.slots {
		if !s.retired {
			slots = append(slots, s)
		}
	}
	return slots
}

func (w *coreWorld) anySlot() *coreSlot {
	slots := w.inUse()
	return slots[w.random.IntN(len(slots))]
}

// processes are those that have not ended.
func (w *coreWorld) processes() (all []*coreProcess) {
	for _, s := range w.slots {
		if s.process != nil {
			all = append(all, s.process)
		}
	}
	return all
}

// leader is a replica that leads, as far as it knows, and is not frozen; nil: there is none.
func (w *coreWorld) leader() *coreProcess {
	for _, p := range w.processes() {
		if !p.frozen && p.group.node.Role() == consensus.Leader {
			return p
		}
	}
	return nil
}

// delay is how long something takes from one machine to another.
func (w *coreWorld) delay(from, to *coreSlot) time.Duration {
	switch {
	case w.profile.Near == 0:
		return w.between(w.profile.Delay/4, w.profile.Delay)
	case from.region() == to.region():
		return w.between(w.profile.Near/2, w.profile.Near)
	default:
		return w.between(w.profile.Delay*9/10, w.profile.Delay)
	}
}

// region is where a machine stands: two zones of three are in one region.
func (s *coreSlot) region() bool { return s.settings.Zone == "zone-2" }

// carry takes something from one machine to another over a connection, in order, or loses it. What arrives runs in the
// process that is there then.
func (w *coreWorld) carry(from, to *coreSlot, ordered bool, arrive func(p *coreProcess)) {
	if w.faults && w.chance(w.profile.Loss) {
		return
	}
	delay := w.delay(from, to)
	if ordered {
		way := [2]int{from.number, to.number}
		w.lastAt[way] = max(w.lastAt[way], w.now+delay)
		delay = w.lastAt[way] - w.now
	}
	process := to.process
	w.after(delay, func() {
		if w.cuts[[2]int{from.number, to.number}] > 0 || to.process == nil || to.process != process {
			return
		}
		process.do(func() { arrive(process) })
	})
}
