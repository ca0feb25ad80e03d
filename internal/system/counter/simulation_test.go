package counter

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"cinderroad/internal/testkit/eventqueue"
	"cinderroad/internal/testkit/mutate"
)

// simulation is a cluster of replicas in virtual time. Everything that is random is drawn from a seed.
type simulation struct {
	seed        uint64
	random      *rand.Rand
	events      eventqueue.Queue // in nanoseconds
	now         time.Duration
	steps       int
	verbose     bool
	lightChecks bool // totals are not checked after each step
	failure     string

	profile      simulationProfile
	machines     []*machine // also those that were replaced
	blocked      map[[2]int]bool
	faults       bool // messages are lost, delayed and duplicated, and faults are drawn
	clientsUntil time.Duration
	lastOrigin   Origin
	lastID       int
	observed     observations

	tamper              mutate.Tamper // nil: messages are unchanged
	messageCount        int
	bytesBetweenRegions int
	bytesSent           int             // size of all vectors and ranges
	nextFree            []time.Duration // when the link of a machine is free again, by index; nil: links have no bounded rate
}

// simulationProfile is what a seed draws about its cluster.
type simulationProfile struct {
	machines                  int
	durability                Durability
	lossRate, duplicationRate float64
	maxSyncTime               time.Duration
	maxFaultInterval          time.Duration
	maxFaultDuration          time.Duration
	addInterval               time.Duration
	mixedSigns                bool          // amounts of both signs, and at the ends of their range
	conflictRate              float64       // share of resent operations with another amount
	linkRate                  float64       // bytes a second; 0: unbounded
	writeTime                 time.Duration // of each entry, beside that of the sync
}

// Latencies one way.
const (
	latencyInZone         = 200 * time.Microsecond
	latencyBetweenZones   = 1400 * time.Microsecond
	latencyBetweenRegions = 20 * time.Millisecond
	callTimeout           = 800 * time.Millisecond // of an exchange
	clientTimeout         = 900 * time.Millisecond
)

func newSimulation(seed uint64) *simulation {
	sim := &simulation{
		seed:         seed,
		random:       rand.New(rand.NewPCG(seed, 54)),
		blocked:      map[[2]int]bool{},
		faults:       true,
		clientsUntil: forever,
		observed:     newObservations(),
	}
	sim.profile = sim.drawProfile()
	return sim
}

func (sim *simulation) drawProfile() simulationProfile {
	drawn := simulationProfile{
		machines:         []int{3, 5, 9}[sim.random.IntN(3)],
		durability:       Durability{Machines: 3, Zones: 2},
		maxSyncTime:      sim.randomDuration(time.Millisecond, 20*time.Millisecond),
		maxFaultInterval: sim.randomDuration(100*time.Millisecond, 4*time.Second),
		maxFaultDuration: sim.randomDuration(300*time.Millisecond, 6*time.Second),
		addInterval:      sim.randomDuration(5*time.Millisecond, 60*time.Millisecond),
		mixedSigns:       sim.chance(0.3),
	}
	if drawn.machines == 3 && sim.chance(0.7) {
		drawn.durability.Machines = 2
	}
	if sim.chance(0.5) {
		drawn.lossRate = 0.1 * sim.random.Float64()
		drawn.duplicationRate = 0.1 * sim.random.Float64()
	}
	if sim.chance(0.3) {
		drawn.conflictRate = 0.1
	}
	return drawn
}

func (sim *simulation) chance(probability float64) bool { return sim.random.Float64() < probability }

func (sim *simulation) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(sim.random.Int64N(int64(high-low)+1))
}

func (sim *simulation) logf(format string, arguments ...any) {
	if sim.verbose {
		fmt.Printf("%9.4f "+format+"\n", append([]any{sim.now.Seconds()}, arguments...)...)
	}
}

func (sim *simulation) fail(format string, arguments ...any) {
	if sim.failure == "" {
		sim.failure = fmt.Sprintf("seed %d, at %v, step %d: ", sim.seed, sim.now, sim.steps) + fmt.Sprintf(format, arguments...)
		sim.logf("FAILED %s", sim.failure)
	}
}

func (sim *simulation) schedule(delay time.Duration, action func()) {
	sim.events.Schedule(float64(sim.now+max(delay, 0)), action)
}

// run simulates a duration.
func (sim *simulation) run(duration time.Duration) {
	end := sim.now + duration
	for sim.failure == "" {
		at, action, ok := sim.events.PopUntil(float64(end))
		if !ok {
			break
		}
		sim.now = time.Duration(at)
		sim.steps++
		action()
	}
	sim.now = end
}

// start boots the machines of the profile.
func (sim *simulation) start() {
	for range sim.profile.machines {
		sim.addMachine()
	}
	for _, machine := range sim.machines {
		machine.disk = sim.newDisk()
		machine.disk.first = true
		sim.schedule(sim.randomDuration(0, 300*time.Millisecond), machine.boot)
	}
}

// addMachine adds a machine without a disk to the next zone. Zones alternate between two regions.
func (sim *simulation) addMachine() *machine {
	index := len(sim.machines)
	zone := index % 6
	added := &machine{
		sim:         sim,
		index:       index,
		address:     netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(index + 1)}), 7000),
		zone:        fmt.Sprintf("z%d", zone),
		region:      zone % 2,
		clockOffset: sim.randomDuration(0, time.Hour),
		member:      true,
	}
	sim.machines = append(sim.machines, added)
	return added
}

// members returns the machines that were not replaced.
func (sim *simulation) members() (members []*machine) {
	for _, machine := range sim.machines {
		if machine.member {
			members = append(members, machine)
		}
	}
	return members
}

func (sim *simulation) machineAt(address netip.AddrPort) *machine {
	for _, machine := range sim.machines {
		if machine.address == address {
			return machine
		}
	}
	return nil
}

func (sim *simulation) newOrigin() Origin {
	sim.lastOrigin++
	return sim.lastOrigin
}

func (sim *simulation) newDisk() *disk {
	return &disk{
		origin: sim.newOrigin(),
		held:   VersionVector{},
		ids:    map[string]bool{},
	}
}

// latency draws the time that a message takes.
func (sim *simulation) latency(from, to *machine) time.Duration {
	base := latencyBetweenRegions
	switch {
	case from.zone == to.zone:
		base = latencyInZone
	case from.region == to.region:
		base = latencyBetweenZones
	}
	delay := base + sim.randomDuration(0, base/4)
	if sim.faults && sim.profile.lossRate > 0 && sim.chance(0.01) {
		delay += sim.randomDuration(0, 3*time.Second)
	}
	return delay
}

// transferDelay returns how long a message waits for the link of its sender and is under way on it.
func (sim *simulation) transferDelay(from *machine, size int) time.Duration {
	if sim.profile.linkRate == 0 {
		return 0
	}
	for len(sim.nextFree) <= from.index {
		sim.nextFree = append(sim.nextFree, 0)
	}
	begin := max(sim.now, sim.nextFree[from.index])
	sim.nextFree[from.index] = begin + time.Duration(float64(size)/sim.profile.linkRate*float64(time.Second))
	return sim.nextFree[from.index] - sim.now
}

// send delivers a message later, several times or not at all.
func (sim *simulation) send(from, to *machine, data []byte, receive func(to *machine, data []byte)) {
	sim.bytesSent += len(data)
	if from.region != to.region {
		sim.bytesBetweenRegions += len(data)
	}
	waits := sim.transferDelay(from, len(data))
	message := mutate.Message{From: uint64(from.index), To: uint64(to.index), Data: data}
	deliveries := mutate.DeliverUnchanged(sim.messageCount, message)
	if sim.tamper != nil {
		deliveries = sim.tamper(sim.messageCount, message)
	}
	sim.messageCount++
	if sim.faults && sim.chance(sim.profile.duplicationRate) {
		deliveries = append(deliveries, deliveries...)
	}
	for _, delivery := range deliveries {
		if sim.blocked[[2]int{from.index, to.index}] || sim.faults && sim.chance(sim.profile.lossRate) {
			continue
		}
		receiver := sim.machines[delivery.To]
		delay := waits + sim.latency(from, receiver) + time.Duration(delivery.Delay*float64(time.Second))
		sim.schedule(delay, func() {
			if !sim.blocked[[2]int{from.index, receiver.index}] {
				receive(receiver, delivery.Data)
			}
		})
	}
}
