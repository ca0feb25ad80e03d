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
	index       int
	settings    processconfig.Settings
	disk        *simDisk
	process     *simProcess
	clockOffset time.Duration // of its clock
	clockRate   float64
	replaced    bool // replaced by another machine
}

func newSimulation(seed uint64) *simulation {
	sim := &simulation{seed: seed, random: rand.New(rand.NewPCG(seed, 11)), faultsEnabled: true,
		byAddress: map[netip.AddrPort]*simMachine{}, blockedLinks: map[[2]int]int{}, lastArrival: map[[2]int]time.Duration{}}
	sim.oracle = newOracle()
	sim.profile = simProfile{
		Machines:      []int{1, 2, 3, 3, 3, 4, 5, 5, 5, 6}[sim.random.IntN(10)],
		Delay:         sim.logUniform(time.Millisecond, 80*time.Millisecond),
		SyncTime:      sim.logUniform(200*time.Microsecond, 30*time.Millisecond),
		FaultInterval: sim.logUniform(300*time.Millisecond, 5*time.Second),
		FaultDuration: sim.logUniform(300*time.Millisecond, 6*time.Second),
		ThinkTime:     sim.logUniform(100*time.Millisecond, 2*time.Second),
		Operators:     2 + sim.random.IntN(3),
		EntryWeight:   minSnapshotLogBytes / (2 + sim.random.IntN(30)),
	}
	if sim.chance(0.5) {
		sim.profile.Loss = 0.1 * sim.random.Float64()
	}
	if seed%thinLinkSeeds == 0 {
		sim.profile.Bandwidth, sim.profile.PaddingBytes = thinLink*megabit, bulkThresholdBytes
	}
	return sim
}

func (sim *simulation) chance(p float64) bool { return sim.random.Float64() < p }

func (sim *simulation) uniform(least, most time.Duration) time.Duration {
	return least + time.Duration(sim.random.Int64N(int64(most-least)+1))
}

// logUniform draws a time whose order of magnitude may be any within a range.
func (sim *simulation) logUniform(least, most time.Duration) time.Duration {
	return time.Duration(float64(least) * math.Pow(float64(most)/float64(least), sim.random.Float64()))
}

func (sim *simulation) logf(format string, args ...any) {
	if sim.verbose {
		fmt.Printf("%10.4f "+format+"\n", append([]any{sim.now.Seconds()}, args...)...)
	}
}

func (sim *simulation) fail(format string, args ...any) {
	if sim.failure == "" {
		sim.failure = fmt.Sprintf("seed %d, at %v: ", sim.seed, sim.now) + fmt.Sprintf(format, args...)
		sim.logf("FAILED %s", sim.failure)
	}
}

func (sim *simulation) schedule(d time.Duration, do func()) {
	sim.events.At(float64(sim.now+max(d, 0)), do)
}

func (sim *simulation) runFor(d time.Duration) { sim.runUntil(d, func() bool { return false }) }

// runUntil plays until something holds, looked at each half second, or a time from now has passed.
func (sim *simulation) runUntil(d time.Duration, holds func() bool) {
	end, look := sim.now+d, sim.now+500*time.Millisecond
	for sim.failure == "" {
		at, do, ok := sim.events.Next(float64(end))
		if !ok {
			break
		}
		sim.now = time.Duration(at)
		sim.stats.counters.steps++
		do()
		if sim.now >= look {
			look = sim.now + 500*time.Millisecond
			if holds() {
				return
			}
		}
	}
	sim.now = end
}

// bootstrap starts the machines of a system for the first time, in any order.
func (sim *simulation) bootstrap() {
	for range sim.profile.Machines {
		sim.addMachine(true)
	}
	for _, machine := range sim.machines {
		if len(sim.seeds) < 3 {
			sim.seeds = append(sim.seeds, netip.AddrPortFrom(machine.settings.IP, 1))
		}
	}
	for _, machine := range sim.machines {
		machine.settings.SeedNodes = sim.seeds
		start := sim.uniform(0, 2*time.Second)
		if sim.chance(0.1) {
			start += 8 * time.Second
		}
		sim.schedule(start, func() { sim.boot(machine) })
	}
	for i := range sim.profile.Operators {
		sim.addOperator(i)
	}
	for _, zone := range []string{"a", "b"} {
		sim.addEvacuationOperator(zone)
	}
	for range 2 {
		sim.addAgent()
	}
	sim.schedule(3*time.Second, sim.injectFault)
}

func (sim *simulation) addMachine(first bool) *simMachine {
	n := len(sim.machines)
	machine := &simMachine{index: n, disk: &simDisk{}, clockOffset: sim.uniform(0, time.Hour), clockRate: 0.98 + 0.04*sim.random.Float64()}
	machine.settings = processconfig.Settings{Node: fmt.Sprintf("core-%d", n), IP: netip.AddrFrom4([4]byte{10, 0, 0, byte(n + 1)}),
		Zone: fmt.Sprintf("zone-%d", n%3), FreePorts: processconfig.PortRange{First: 9000, Last: 9015}, SeedNodes: sim.seeds,
		FirstBoot: first, SurvivableLosses: processconfig.SurvivableLosses{Machines: max(sim.toleratedLosses, 1), Zones: 1},
		Timing: processconfig.Timing{CatchUp: testCatchUp}}
	sim.machines = append(sim.machines, machine)
	sim.byAddress[machine.address()] = machine
	return machine
}

// addReplacement adds a machine that takes another one's place.
func (sim *simulation) addReplacement(machine *simMachine) *simMachine {
	next := sim.addMachine(false)
	next.settings.Zone = machine.settings.Zone
	return next
}

func (s *simMachine) address() netip.AddrPort { return controlAddress(&s.settings, s.settings.IP) }

// id is that of the replica on the slot's disk, 0 before there is one.
func (s *simMachine) id() consensus.ReplicaID { return s.disk.id }

// activeMachines are the machines that have not been replaced.
func (sim *simulation) activeMachines() (machines []*simMachine) {
	for _, machine := range sim.machines {
		if !machine.replaced {
			machines = append(machines, machine)
		}
	}
	return machines
}

func (sim *simulation) randomMachine() *simMachine {
	machines := sim.activeMachines()
	return machines[sim.random.IntN(len(machines))]
}

// processes are those that have not ended.
func (sim *simulation) processes() (all []*simProcess) {
	for _, machine := range sim.machines {
		if machine.process != nil {
			all = append(all, machine.process)
		}
	}
	return all
}

// leader is a replica that leads, as far as it knows, and is not frozen; nil: there is none.
func (sim *simulation) leader() *simProcess {
	for _, process := range sim.processes() {
		if !process.paused && process.group.node.Role() == consensus.Leader {
			return process
		}
	}
	return nil
}

// delay is how long something takes from one machine to another.
func (sim *simulation) delay(from, to *simMachine) time.Duration {
	switch {
	case sim.profile.RegionalDelay == 0:
		return sim.uniform(sim.profile.Delay/4, sim.profile.Delay)
	case from.region() == to.region():
		return sim.uniform(sim.profile.RegionalDelay/2, sim.profile.RegionalDelay)
	default:
		return sim.uniform(sim.profile.Delay*9/10, sim.profile.Delay)
	}
}

// region is where a machine stands: two zones of three are in one region.
func (s *simMachine) region() bool { return s.settings.Zone == "zone-2" }

// transmit takes something from one machine to another over a connection, in order, or loses it. What arrives runs in the
// process that is there then.
func (sim *simulation) transmit(from, to *simMachine, ordered bool, arrive func(p *simProcess)) {
	if sim.faultsEnabled && sim.chance(sim.profile.Loss) {
		return
	}
	delay := sim.delay(from, to)
	if ordered {
		way := [2]int{from.index, to.index}
		sim.lastArrival[way] = max(sim.lastArrival[way], sim.now+delay)
		delay = sim.lastArrival[way] - sim.now
	}
	process := to.process
	sim.schedule(delay, func() {
		if sim.blockedLinks[[2]int{from.index, to.index}] > 0 || to.process == nil || to.process != process {
			return
		}
		process.execute(func() { arrive(process) })
	})
}
