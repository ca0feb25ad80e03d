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

// testCatchUp is the CatchUp time of simulated machines.
const testCatchUp = 4 * time.Second

// simulation is a cluster of control machines in virtual time.
type simulation struct {
	seed            uint64
	random          *rand.Rand
	now             time.Duration
	events          eventqueue.Queue
	verbose         bool
	failure         string
	faultsEnabled   bool // faults are injected
	injected        injectedFaults
	profile         simProfile
	toleratedLosses int // 0: 1

	machines     []*simMachine
	seeds        []netip.AddrPort
	byAddress    map[netip.AddrPort]*simMachine
	blockedLinks map[[2]int]int // by sender and receiver, the number of faults that block it
	lastArrival  map[[2]int]time.Duration
	oracle       oracle
	stats        simStats
	// sentBytes counts what was sent over links with limited bandwidth.
	sentBytes int
	// longestWait is the longest time that a message waited for such a link.
	longestWait time.Duration

	operators           []*simOperator
	evacuationOperators []*evacuationOperator
	agents              []*simAgent
	history             requestHistory
}

// injectedFaults are safeguards that are disabled, to check that the simulation detects it.
type injectedFaults struct {
	sendsBeforeSync, reusesIdentity, changesDigests, skipsBarrier, leadsWhileStalled bool
	acceptsLateOrders, skipsNoopOrders                                               bool // affect evacuations
	deadlinePerMessage, singleConnection                                             bool // affect simLink
}

// simProfile has the parameters of a cluster that a seed draws.
type simProfile struct {
	Machines      int
	Delay         time.Duration // maximum of a message
	RegionalDelay time.Duration // if not 0, the maximum within a region; between regions it is Delay
	Loss          float64
	SyncTime      time.Duration
	FaultInterval time.Duration // maximum
	FaultDuration time.Duration // maximum
	ThinkTime     time.Duration // maximum of an operator
	Operators     int
	EntryWeight   int     // added to the size of entries that triggers snapshots
	Bandwidth     float64 // of a machine's outgoing link in bytes a second; 0: unlimited
	PaddingBytes  int     // added to each change
}

// In every thinLinkSeeds-th seed, machines have links of thinLink megabits a second, and changes are large.
const (
	thinLinkSeeds = 4
	thinLink      = 20
)

// simMachine is a machine. Its disk and its process may each outlive the other.
type simMachine struct {
	index       int
	settings    processconfig.Settings
	disk        *simDisk
	process     *simProcess
	clockOffset time.Duration // of its clock to the virtual time
	clockRate   float64
	replaced    bool // by another machine, for good
}

// newSimulation returns a cluster that is not bootstrapped yet.
func newSimulation(seed uint64) *simulation {
	sim := &simulation{
		seed:          seed,
		random:        rand.New(rand.NewPCG(seed, 11)),
		faultsEnabled: true,
		byAddress:     map[netip.AddrPort]*simMachine{},
		blockedLinks:  map[[2]int]int{},
		lastArrival:   map[[2]int]time.Duration{},
	}
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
		sim.profile.Bandwidth = thinLink * megabit
		sim.profile.PaddingBytes = bulkThresholdBytes
	}
	return sim
}

// chance returns true with a probability.
func (sim *simulation) chance(p float64) bool { return sim.random.Float64() < p }

// uniform draws a duration from a range.
func (sim *simulation) uniform(least, most time.Duration) time.Duration {
	return least + time.Duration(sim.random.Int64N(int64(most-least)+1))
}

// logUniform draws a duration from a range with a uniform order of magnitude.
func (sim *simulation) logUniform(least, most time.Duration) time.Duration {
	return time.Duration(float64(least) * math.Pow(float64(most)/float64(least), sim.random.Float64()))
}

// logf prints a line with the virtual time in verbose runs.
func (sim *simulation) logf(format string, args ...any) {
	if sim.verbose {
		fmt.Printf("%10.4f "+format+"\n", append([]any{sim.now.Seconds()}, args...)...)
	}
}

// fail records the first failure, which ends the run.
func (sim *simulation) fail(format string, args ...any) {
	if sim.failure == "" {
		sim.failure = fmt.Sprintf("seed %d, at %v: ", sim.seed, sim.now) + fmt.Sprintf(format, args...)
		sim.logf("FAILED %s", sim.failure)
	}
}

// schedule runs an event after a delay.
func (sim *simulation) schedule(d time.Duration, event func()) {
	sim.events.Schedule(float64(sim.now+max(d, 0)), event)
}

// runFor runs for a duration.
func (sim *simulation) runFor(d time.Duration) { sim.runUntil(d, func() bool { return false }) }

// runUntil runs until a condition holds, which is checked every half second, or for a duration.
func (sim *simulation) runUntil(d time.Duration, condition func() bool) {
	end := sim.now + d
	nextCheck := sim.now + 500*time.Millisecond
	for sim.failure == "" {
		at, event, ok := sim.events.PopUntil(float64(end))
		if !ok {
			break
		}
		sim.now = time.Duration(at)
		sim.stats.counters.steps++
		event()
		if sim.now >= nextCheck {
			nextCheck = sim.now + 500*time.Millisecond
			if condition() {
				return
			}
		}
	}
	sim.now = end
}

// bootstrap starts all machines for the first time, in random order, and the clients.
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

// addMachine adds a machine that is not booted.
func (sim *simulation) addMachine(first bool) *simMachine {
	n := len(sim.machines)
	machine := &simMachine{index: n, disk: &simDisk{}, clockOffset: sim.uniform(0, time.Hour), clockRate: 0.98 + 0.04*sim.random.Float64()}
	machine.settings = processconfig.Settings{
		Node:             fmt.Sprintf("core-%d", n),
		IP:               netip.AddrFrom4([4]byte{10, 0, 0, byte(n + 1)}),
		Zone:             fmt.Sprintf("zone-%d", n%3),
		FreePorts:        processconfig.PortRange{First: 9000, Last: 9015},
		SeedNodes:        sim.seeds,
		FirstBoot:        first,
		SurvivableLosses: processconfig.SurvivableLosses{Machines: max(sim.toleratedLosses, 1), Zones: 1},
		Timing:           processconfig.Timing{CatchUp: testCatchUp},
	}
	sim.machines = append(sim.machines, machine)
	sim.byAddress[machine.address()] = machine
	return machine
}

// addReplacement adds a machine in the zone of another one.
func (sim *simulation) addReplacement(machine *simMachine) *simMachine {
	next := sim.addMachine(false)
	next.settings.Zone = machine.settings.Zone
	return next
}

// address is the address of the machine's control RPC.
func (s *simMachine) address() netip.AddrPort { return controlAddress(&s.settings, s.settings.IP) }

// id returns the ID of the replica on the machine's disk, 0 before there is one.
func (s *simMachine) id() consensus.ReplicaID { return s.disk.id }

// activeMachines returns the machines that have not been replaced.
func (sim *simulation) activeMachines() (machines []*simMachine) {
	for _, machine := range sim.machines {
		if !machine.replaced {
			machines = append(machines, machine)
		}
	}
	return machines
}

// randomMachine draws an active machine.
func (sim *simulation) randomMachine() *simMachine {
	machines := sim.activeMachines()
	return machines[sim.random.IntN(len(machines))]
}

// processes returns the processes that have not ended.
func (sim *simulation) processes() (all []*simProcess) {
	for _, machine := range sim.machines {
		if machine.process != nil {
			all = append(all, machine.process)
		}
	}
	return all
}

// leader returns a process that is not paused and considers itself leader, nil if there is none.
func (sim *simulation) leader() *simProcess {
	for _, process := range sim.processes() {
		if !process.paused && process.group.node.Role() == consensus.Leader {
			return process
		}
	}
	return nil
}

// delay draws the delay of a message between two machines.
func (sim *simulation) delay(from, to *simMachine) time.Duration {
	switch {
	case sim.profile.RegionalDelay == 0:
		return sim.uniform(sim.profile.Delay/4, sim.profile.Delay)
	case from.inSecondRegion() == to.inSecondRegion():
		return sim.uniform(sim.profile.RegionalDelay/2, sim.profile.RegionalDelay)
	default:
		return sim.uniform(sim.profile.Delay*9/10, sim.profile.Delay)
	}
}

// inSecondRegion reports whether the machine is in the second of two regions: the first has the zones 0 and 1, the second
// zone 2.
func (s *simMachine) inSecondRegion() bool { return s.settings.Zone == "zone-2" }

// transmit carries something from one machine to another, or loses it. ordered means that it uses a connection, so that it
// arrives after what was sent before. arrive runs in the process that was there when it was sent, if it still runs then.
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
