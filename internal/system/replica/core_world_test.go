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

// simulation is a control core in virtual time.
type simulation struct {
	seed            uint64
	random          *rand.Rand
	now             time.Duration
	events          eventqueue.Agenda
	verbose         bool
	failure         string
	faultsEnabled   bool // they go on
	injected        injectedFaults
	profile         simProfile
	toleratedLosses int // to be borne at once, 0: 1

	machines     []*simMachine
	seeds        []netip.AddrPort
	byAddress    map[netip.AddrPort]*simMachine
	blockedLinks map[[2]int]int // one way each: how many faults cut it
	lastArrival  map[[2]int]time.Duration
	oracle       oracle
	stats        simStats
	// sentBytes is what went out over links with a bandwidth.
	sentBytes int
	// longestWait is how long a message waited for such a link, at most.
	longestWait time.Duration

	operators           []*simOperator
	evacuationOperators []*evacuationOperator
	agents              []*simAgent
	history             requestHistory
}

// injectedFaults are safeguards that are taken out.
type injectedFaults struct {
	sendsBeforeSync, reusesIdentity, changesDigests, skipsBarrier, leadsWhileStalled bool
	acceptsLateOrders, skipsNoopOrders                                               bool // of evacuations
	deadlinePerMessage, singleConnection                                             bool // see simLink
}

// simProfile is what a seed draws about its core.
type simProfile struct {
	Machines      int
	Delay         time.Duration // of a message, at most
	RegionalDelay time.Duration // above 0: machines of two regions are Delay apart, those of one as much as this
	Loss          float64
	SyncTime      time.Duration
	FaultInterval time.Duration // at most
	FaultDuration time.Duration // at most
	ThinkTime     time.Duration // of an operator, at most
	Operators     int
	EntryWeight   int     // by which entries weigh more towards a snapshot
	Bandwidth     float64 // of a machine's way out, bytes a second; 0: no bound
	PaddingBytes  int     // bytes that each change has more
}

// Every so many seeds machines have thin links, of so many megabits a second, and changes are large.
const (
	thinLinkSeeds = 4
	thinLink      = 20
)

// simMachine is a machine: its disk and its process outlive each other.
type simMachine struct {
	number      int
	settings    processconfig.Settings
	disk        *simDisk
	process     *simProcess
	clockOffset time.Duration // of its clock
	clockRate   float64
	replaced    bool // replaced by another machine
}

func newSimulation(seed uint64) *simulation {
	w := &simulation{seed: seed, random: rand.New(rand.NewPCG(seed, 11)), faultsEnabled: true,
		byAddress: map[netip.AddrPort]*simMachine{}, blockedLinks: map[[2]int]int{}, lastArrival: map[[2]int]time.Duration{}}
	w.oracle = newOracle()
	w.profile = simProfile{
		Machines:      []int{1, 2, 3, 3, 3, 4, 5, 5, 5, 6}[w.random.IntN(10)],
		Delay:         w.logUniform(time.Millisecond, 80*time.Millisecond),
		SyncTime:      w.logUniform(200*time.Microsecond, 30*time.Millisecond),
		FaultInterval: w.logUniform(300*time.Millisecond, 5*time.Second),
		FaultDuration: w.logUniform(300*time.Millisecond, 6*time.Second),
		ThinkTime:     w.logUniform(100*time.Millisecond, 2*time.Second),
		Operators:     2 + w.random.IntN(3),
		EntryWeight:   minSnapshotLogBytes / (2 + w.random.IntN(30)),
	}
	if w.chance(0.5) {
		w.profile.Loss = 0.1 * w.random.Float64()
	}
	if seed%thinLinkSeeds == 0 {
		w.profile.Bandwidth, w.profile.PaddingBytes = thinLink*megabit, bulkThresholdBytes
	}
	return w
}

func (w *simulation) chance(p float64) bool { return w.random.Float64() < p }

func (w *simulation) uniform(least, most time.Duration) time.Duration {
	return least + time.Duration(w.random.Int64N(int64(most-least)+1))
}

// logUniform draws a time whose order of magnitude may be any within a range.
func (w *simulation) logUniform(least, most time.Duration) time.Duration {
	return time.Duration(float64(least) * math.Pow(float64(most)/float64(least), w.random.Float64()))
}

func (w *simulation) logf(format string, args ...any) {
	if w.verbose {
		fmt.Printf("%10.4f "+format+"\n", append([]any{w.now.Seconds()}, args...)...)
	}
}

func (w *simulation) fail(format string, args ...any) {
	if w.failure == "" {
		w.failure = fmt.Sprintf("seed %d, at %v: ", w.seed, w.now) + fmt.Sprintf(format, args...)
		w.logf("FAILED %s", w.failure)
	}
}

func (w *simulation) schedule(d time.Duration, do func()) { w.events.At(float64(w.now+max(d, 0)), do) }

func (w *simulation) runFor(d time.Duration) { w.runUntil(d, func() bool { return false }) }

// runUntil plays until something holds, looked at each half second, or a time from now has passed.
func (w *simulation) runUntil(d time.Duration, holds func() bool) {
	end, look := w.now+d, w.now+500*time.Millisecond
	for w.failure == "" {
		at, do, is := w.events.Next(float64(end))
		if !is {
			break
		}
		w.now = time.Duration(at)
		w.stats.counters.steps++
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

// bootstrap starts the machines of a system for the first time, in any order.
func (w *simulation) bootstrap() {
	for range w.profile.Machines {
		w.addMachine(true)
	}
	for _, s := range w.machines {
		if len(w.seeds) < 3 {
			w.seeds = append(w.seeds, netip.AddrPortFrom(s.settings.IP, 1))
		}
	}
	for _, s := range w.machines {
		s.settings.SeedNodes = w.seeds
		start := w.uniform(0, 2*time.Second)
		if w.chance(0.1) {
			start += 8 * time.Second
		}
		w.schedule(start, func() { w.boot(s) })
	}
	for i := range w.profile.Operators {
		w.addOperator(i)
	}
	for _, zone := range []string{"a", "b"} {
		w.addEvacuationOperator(zone)
	}
	for range 2 {
		w.addAgent()
	}
	w.schedule(3*time.Second, w.injectFault)
}

func (w *simulation) addMachine(first bool) *simMachine {
	n := len(w.machines)
	s := &simMachine{number: n, disk: &simDisk{}, clockOffset: w.uniform(0, time.Hour), clockRate: 0.98 + 0.04*w.random.Float64()}
	s.settings = processconfig.Settings{Node: fmt.Sprintf("core-%d", n), IP: netip.AddrFrom4([4]byte{10, 0, 0, byte(n + 1)}),
		Zone: fmt.Sprintf("zone-%d", n%3), FreePorts: processconfig.PortRange{First: 9000, Last: 9015}, SeedNodes: w.seeds,
		FirstBoot: first, SurvivableLosses: processconfig.SurvivableLosses{Machines: max(w.toleratedLosses, 1), Zones: 1},
		Timing: processconfig.Timing{CatchUp: testCatchUp}}
	w.machines = append(w.machines, s)
	w.byAddress[s.address()] = s
	return s
}

// addReplacement adds a machine that takes another one's place.
func (w *simulation) addReplacement(of *simMachine) *simMachine {
	next := w.addMachine(false)
	next.settings.Zone = of.settings.Zone
	return next
}

func (s *simMachine) address() netip.AddrPort { return controlAddress(&s.settings, s.settings.IP) }

// id is that of the replica on the slot's disk, 0 before there is one.
func (s *simMachine) id() consensus.ReplicaID { return s.disk.id }

// activeMachines are the machines that have not been replaced.
func (w *simulation) activeMachines() (slots []*simMachine) {
	for _, s := range w.machines {
		if !s.replaced {
			slots = append(slots, s)
		}
	}
	return slots
}

func (w *simulation) randomMachine() *simMachine {
	slots := w.activeMachines()
	return slots[w.random.IntN(len(slots))]
}

// processes are those that have not ended.
func (w *simulation) processes() (all []*simProcess) {
	for _, s := range w.machines {
		if s.process != nil {
			all = append(all, s.process)
		}
	}
	return all
}

// leader is a replica that leads, as far as it knows, and is not frozen; nil: there is none.
func (w *simulation) leader() *simProcess {
	for _, p := range w.processes() {
		if !p.paused && p.group.node.Role() == consensus.Leader {
			return p
		}
	}
	return nil
}

// delay is how long something takes from one machine to another.
func (w *simulation) delay(from, to *simMachine) time.Duration {
	switch {
	case w.profile.RegionalDelay == 0:
		return w.uniform(w.profile.Delay/4, w.profile.Delay)
	case from.region() == to.region():
		return w.uniform(w.profile.RegionalDelay/2, w.profile.RegionalDelay)
	default:
		return w.uniform(w.profile.Delay*9/10, w.profile.Delay)
	}
}

// region is where a machine stands: two zones of three are in one region.
func (s *simMachine) region() bool { return s.settings.Zone == "zone-2" }

// transmit takes something from one machine to another over a connection, in order, or loses it. What arrives runs in the
// process that is there then.
func (w *simulation) transmit(from, to *simMachine, ordered bool, arrive func(p *simProcess)) {
	if w.faultsEnabled && w.chance(w.profile.Loss) {
		return
	}
	delay := w.delay(from, to)
	if ordered {
		way := [2]int{from.number, to.number}
		w.lastArrival[way] = max(w.lastArrival[way], w.now+delay)
		delay = w.lastArrival[way] - w.now
	}
	process := to.process
	w.schedule(delay, func() {
		if w.blockedLinks[[2]int{from.number, to.number}] > 0 || to.process == nil || to.process != process {
			return
		}
		process.execute(func() { arrive(process) })
	})
}
