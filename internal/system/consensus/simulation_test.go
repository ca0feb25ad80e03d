package consensus

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"cinderroad/internal/testkit/eventqueue"
)

// simulation is a cluster in virtual time.
type simulation struct {
	seed             uint64
	random           *rand.Rand
	now              time.Duration
	events           eventqueue.Queue // in nanoseconds
	steps            int
	verbose          bool
	failure          string
	corruptsMessages bool // some messages arrive corrupt

	profile      simulationProfile
	hosts        []*simulatedHost
	lastID       ReplicaID
	cutLinks     map[[2]int]bool                // by sender and receiver
	lastDelivery map[[2]ReplicaID]time.Duration // on links that keep the order of messages
	faults       bool

	proposalsPausedUntil time.Duration
	observed             observations
	lastToken            uint64
}

// simulationProfile is what a seed draws about its cluster.
type simulationProfile struct {
	Replicas                  int
	LossRate, DuplicationRate float64 // of messages
	OrderedLinks              bool    // messages between two replicas keep their order
	MaxDelay                  time.Duration
	Pipelined                 bool // the next Ready is taken while writes are in flight
	NoSnapshotData            bool // nodes hold no snapshot data
	MaxSyncTime               time.Duration
	MaxFaultInterval          time.Duration
	MaxFaultDuration          time.Duration
	MaxProposalInterval       time.Duration
	NeedlessChangeRate        float64 // probability of a membership change without need, each time that the operator looks

	MaxAppendBytes, MaxInflightAppends int
}

// simulatedHost is a computer. Its disk and its process are replaced independently.
type simulatedHost struct {
	index       int
	id          ReplicaID
	disk        *simulatedDisk
	process     *simulatedProcess // nil: not running
	clockOffset time.Duration     // of its clock to the virtual time
	clockRate   float64           // of its clock, per virtual time
}

func newSimulation(seed uint64) *simulation {
	sim := &simulation{
		seed:         seed,
		random:       rand.New(rand.NewPCG(seed, 7)),
		cutLinks:     map[[2]int]bool{},
		lastDelivery: map[[2]ReplicaID]time.Duration{},
		faults:       true,
	}
	sim.profile = sim.drawProfile()
	sim.observed = newObservations()
	return sim
}

func (sim *simulation) drawProfile() simulationProfile {
	drawn := simulationProfile{Replicas: []int{1, 2, 3, 3, 3, 5, 5, 5, 5, 7}[sim.random.IntN(10)]}
	if sim.chance(0.5) {
		drawn.LossRate = sim.random.Float64() * 0.2
		drawn.DuplicationRate = sim.random.Float64() * 0.1
	}
	drawn.OrderedLinks = sim.chance(0.4)
	drawn.MaxDelay = sim.randomDuration(time.Millisecond, 60*time.Millisecond)
	drawn.Pipelined = sim.chance(0.5)
	drawn.NoSnapshotData = sim.chance(0.5)
	drawn.MaxSyncTime = sim.randomDuration(100*time.Microsecond, 20*time.Millisecond)
	drawn.MaxFaultInterval = sim.randomMagnitude(60*time.Millisecond, 3*time.Second)
	drawn.MaxFaultDuration = sim.randomMagnitude(200*time.Millisecond, 4*time.Second)
	drawn.MaxProposalInterval = sim.randomMagnitude(3*time.Millisecond, 2*time.Second)
	drawn.MaxAppendBytes = 16 << sim.random.IntN(9)
	drawn.MaxInflightAppends = 2 + sim.random.IntN(8)
	if sim.chance(0.6) {
		drawn.NeedlessChangeRate = sim.random.Float64() * 0.2
	}
	return drawn
}

func (sim *simulation) chance(probability float64) bool { return sim.random.Float64() < probability }

func (sim *simulation) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(sim.random.Int64N(int64(high-low)+1))
}

// randomMagnitude draws a duration whose order of magnitude is uniform within a range.
func (sim *simulation) randomMagnitude(low, high time.Duration) time.Duration {
	return time.Duration(float64(low) * math.Pow(float64(high)/float64(low), sim.random.Float64()))
}

func (sim *simulation) logf(format string, args ...any) {
	if sim.verbose {
		fmt.Printf("%10.4f "+format+"\n", append([]any{sim.now.Seconds()}, args...)...)
	}
}

func (sim *simulation) fail(format string, args ...any) {
	if sim.failure == "" {
		sim.failure = fmt.Sprintf("seed %d, at %v, step %d: ", sim.seed, sim.now, sim.steps) + fmt.Sprintf(format, args...)
		sim.logf("FAILED %s", sim.failure)
	}
}

func (sim *simulation) schedule(delay time.Duration, action func()) {
	sim.events.Schedule(float64(sim.now+max(delay, 0)), action)
}

// start founds the cluster.
func (sim *simulation) start() {
	var founders Membership
	for i := range sim.profile.Replicas {
		sim.lastID++
		host := &simulatedHost{
			index:       i,
			id:          sim.lastID,
			disk:        &simulatedDisk{},
			clockOffset: sim.randomDuration(0, time.Hour),
			clockRate:   0.98 + 0.04*sim.random.Float64(),
		}
		sim.hosts = append(sim.hosts, host)
		founders.Members = append(founders.Members, Member{ID: host.id, Node: fmt.Sprint(i), Voter: true})
	}
	sim.observed.membership, sim.observed.proposedMembership = founders, founders
	for _, host := range sim.hosts {
		host.disk.stored.Snapshot.Membership = founders
		sim.schedule(sim.randomDuration(0, 300*time.Millisecond), func() { sim.boot(host) })
	}
	sim.schedule(time.Second, sim.propose)
	sim.schedule(time.Second, sim.repairMembership)
	sim.schedule(time.Second, sim.nextFault)
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
		sim.check()
	}
	sim.now = end
}

func (sim *simulation) hostOf(id ReplicaID) *simulatedHost {
	for _, host := range sim.hosts {
		if host.id == id {
			return host
		}
	}
	return nil
}

// processes returns the running processes.
func (sim *simulation) processes() (all []*simulatedProcess) {
	for _, host := range sim.hosts {
		if host.process != nil {
			all = append(all, host.process)
		}
	}
	return all
}

// send encodes a message and delivers it later, loses it or duplicates it.
func (sim *simulation) send(from *simulatedProcess, msg Message) {
	sim.checkSent(from, msg)
	to := sim.hostOf(msg.To)
	if to == nil {
		return
	}
	copies := 1
	if sim.chance(sim.profile.DuplicationRate) && sim.faults {
		copies = 2
	}
	if sim.profile.NoSnapshotData && msg.Kind == MessageInstallSnapshot {
		stored := from.host.disk.stored.Snapshot
		msg.Snapshot = &stored
	}
	data := EncodeMessage(msg)
	for range copies {
		if sim.cutLinks[[2]int{from.host.index, to.index}] || sim.faults && sim.chance(sim.profile.LossRate) {
			continue
		}
		sim.schedule(sim.delay(from.id, msg.To), func() { sim.deliver(from.host, to, msg.To, data) })
	}
}

func (sim *simulation) delay(from, to ReplicaID) time.Duration {
	delay := sim.randomDuration(sim.profile.MaxDelay/4, sim.profile.MaxDelay)
	if sim.faults && sim.chance(0.01) {
		delay += sim.randomDuration(0, 3*time.Second)
	}
	if !sim.profile.OrderedLinks {
		return delay
	}
	link := [2]ReplicaID{from, to}
	at := max(sim.now+delay, sim.lastDelivery[link])
	sim.lastDelivery[link] = at
	return at - sim.now
}

func (sim *simulation) deliver(from, to *simulatedHost, id ReplicaID, data []byte) {
	if to.process == nil || to.id != id || sim.cutLinks[[2]int{from.index, to.index}] {
		return
	}
	data = sim.corrupt(data)
	msg, err := DecodeMessage(data)
	if err != nil && sim.corruptsMessages {
		return
	}
	if err != nil {
		sim.fail("message does not decode: %v", err)
		return
	}
	p := to.process
	p.run(func(node *Node) {
		sim.logf("%d <- %v", p.id, describeMessage(msg))
		p.hasMembership = p.hasMembership || msg.Kind == MessageAppend || msg.Kind == MessageInstallSnapshot
		node.Step(p.clock(), msg)
	})
}

// corrupt sometimes changes some bytes of a message.
func (sim *simulation) corrupt(data []byte) []byte {
	if !sim.corruptsMessages || !sim.chance(0.05) {
		return data
	}
	data = slices.Clone(data)
	for range 1 + sim.random.IntN(3) {
		at := sim.random.IntN(len(data))
		switch sim.random.IntN(3) {
		case 0:
			data[at] = byte(sim.random.Uint32())
		case 1:
			data[at] ^= 1 << sim.random.IntN(8)
		case 2:
			data[at] += byte(sim.random.IntN(5)) - 2
		}
	}
	return data
}

func describeMessage(message Message) string {
	return fmt.Sprintf("%d kind %d term %d index %d/%d commit %d entries %d reject %v hint %d round %d",
		message.From, message.Kind, message.Term, message.Index, message.LogTerm, message.Commit,
		len(message.Entries), message.Reject, message.RejectHint, message.Round)
}
