package jobreplica_test

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"

	"cinderroad/internal/dispatcher/cluster/jobreplica"
	"cinderroad/internal/dispatcher/cluster/jobstate"
	"cinderroad/internal/testkit/mutate"
)

var (
	seeds     = flag.Int("fleet.seeds", 40, "drawn runs of faults")
	mutateAll = flag.Bool("mutate.all", false, "play every mutation of every message")
)

// runWithFaults plays jobs of all classes through all members under faults drawn from a seed: loss, one-way cuts, islands, stalls, kills with
// everything that the process held, no more at once than a minority of the copies.
func runWithFaults(seed uint64, configure func(sim *simulation)) error {
	rng := rand.New(rand.NewPCG(seed, 9))
	replicas := 3 + 2*rng.IntN(2)
	sim := newSimulation(seed, replicas+2+rng.IntN(3), replicas)
	if configure != nil {
		configure(sim)
	}
	sim.dispatchJobs()
	sim.runUntil(sim.now + 4)
	for i := range 12 {
		sim.submitJob(fmt.Sprint("k", i), jobstate.Effect(i%3))
		if i%3 == 2 {
			sim.injectFault(rng)
			sim.runUntil(sim.now + 1 + 11*rng.Float64())
		}
	}
	return sim.finishAndCheck()
}

// injectFault begins one fault and has it end by itself.
func (sim *simulation) injectFault(rng *rand.Rand) {
	i := rng.IntN(len(sim.hosts))
	host := sim.hosts[i]
	end := sim.now + 0.5 + 9*rng.Float64()
	switch rng.IntN(6) {
	case 0:
		sim.dropRate = 0.3 * rng.Float64()
		sim.schedule(end, func() { sim.dropRate = 0 })
	case 1:
		sim.partitioned = func(from, to int) bool { return from == i } // one way
		sim.schedule(end, func() { sim.partitioned = nil })
	case 2:
		island := 1 + rng.IntN(len(sim.hosts)-1)
		sim.partitioned = func(from, to int) bool { return (from < island) != (to < island) }
		sim.schedule(end, func() { sim.partitioned = nil })
	case 3:
		if host.replica != nil {
			host.paused = true
			sim.schedule(end, func() {
				if host.paused {
					sim.resume(host)
				}
			})
		}
	default:
		if host.replica != nil && sim.allVotersRunning() {
			sim.kill(host)
			sim.schedule(end, func() {
				if host.replica == nil {
					sim.startHost(host)
				}
			})
		}
	}
}

// allVotersRunning says whether all copies that count are there: only then may one more be lost.
func (sim *simulation) allVotersRunning() bool {
	running := map[uint64]bool{}
	for _, host := range sim.hosts {
		if host.replica != nil && !host.paused {
			running[host.member.ID] = true
		}
	}
	for _, host := range sim.hosts {
		if host.replica != nil && host.replica.IsLeader() {
			voters, _ := host.replica.Members()
			for _, m := range voters {
				if !running[m.ID] {
					return false
				}
			}
			return true
		}
	}
	return false
}

func TestAcknowledgedJobsSurviveFaults(t *testing.T) {
	for seed := uint64(1); seed <= uint64(*seeds); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			if err := runWithFaults(seed, nil); err != nil {
				t.Errorf("seed %d: %v", seed, err)
			}
		})
	}
}

func TestSameSeedSameRun(t *testing.T) {
	play := func() (string, int) {
		sim := newSimulation(3, 5, 3)
		sim.dispatchJobs()
		sim.runUntil(sim.now + 3)
		for i := range 6 {
			sim.submitJob(fmt.Sprint("k", i), jobstate.Effect(i%3))
		}
		sim.dropRate = 0.1
		sim.runUntil(sim.now + 10)
		if err := sim.finishAndCheck(); err != nil {
			t.Fatal(err)
		}
		return sim.outcome(), sim.sentMessages
	}
	firstOutcome, firstSent := play()
	secondOutcome, secondSent := play()
	if firstOutcome != secondOutcome || firstSent != secondSent {
		t.Errorf("%s after %d messages, then %s after %d", firstOutcome, firstSent, secondOutcome, secondSent)
	}
}

// Runs for mutations: what is told must hold whichever one message is spoilt.
var mutationScenarios = map[string]func(w *simulation){
	"the leader is killed": func(w *simulation) {
		w.submitJob("a", jobstate.Unsafe)
		w.submitJob("b", jobstate.Keyed)
		w.runUntil(w.now + 0.7)
		w.kill(w.leader())
		w.runUntil(w.now + 3)
		w.submitJob("c", jobstate.Safe)
		w.runUntil(w.now + 9)
	},
	"the leader sleeps while another sends": func(w *simulation) {
		w.submitJob("a", jobstate.Keyed)
		w.runUntil(w.now + 0.5)
		p := w.leader()
		p.paused = true
		w.submitJob("b", jobstate.Unsafe)
		w.runUntil(w.now + 5)
		w.resume(p)
		w.submitJob("c", jobstate.Safe)
		w.runUntil(w.now + 3)
	},
	"a copy is replaced": func(w *simulation) {
		w.submitJob("a", jobstate.Unsafe)
		p := w.follower()
		w.partitioned = func(from, to int) bool { return from == p.index || to == p.index }
		w.runUntil(w.now + 12)
		w.partitioned = nil
		w.submitJob("b", jobstate.Keyed)
		w.runUntil(w.now + 3)
	},
	"the lead is handed over": func(w *simulation) {
		w.submitJob("a", jobstate.Keyed)
		p := w.leader()
		p.replica.TransferLeadership()
		w.processOutput(p)
		w.submitJob("b", jobstate.Unsafe)
		w.runUntil(w.now + 2)
	},
}

func (sim *simulation) leader() *simulatedHost {
	for _, host := range sim.hosts {
		if host.replica != nil && !host.paused && host.replica.IsLeader() {
			return host
		}
	}
	return sim.hosts[0]
}

func (sim *simulation) follower() *simulatedHost {
	for _, host := range sim.hosts {
		if host.replica != nil && host.replica.IsVoter() && !host.replica.IsLeader() {
			return host
		}
	}
	return sim.hosts[0]
}

// toleratedForgeries are forgeries that claim a log which their sender does not hold. What they break is told and not judged, as
// docs/promises.md says of copies that lie.
var toleratedForgeries = map[string]bool{"forged index": true, "forged sender": true, "forged reject": true}

func TestToleratesAnyMutatedMessage(t *testing.T) {
	for name, scenario := range mutationScenarios {
		t.Run(name, func(t *testing.T) {
			options := mutate.Options{Delays: []float64{0.3, 1.5, 9}, Stride: 37, Parallelism: 6, OtherMembers: []uint64{1, 2, 3, 4}, Variants: jobreplica.ForgeVariants}
			if *mutateAll {
				options.Stride = 1
			}
			report, err := mutate.RunAll(func(tamper mutate.Tamper) (string, error) {
				sim := newSimulation(1, 4, 3)
				sim.tamper = tamper
				sim.dispatchJobs()
				sim.runUntil(sim.now + 3)
				scenario(sim)
				err := sim.finishAndCheck()
				return sim.outcome(), err
			}, options)
			if err != nil {
				t.Fatal(err)
			}
			t.Log(report)
			for _, violation := range report.Violations {
				if toleratedForgeries[violation.Mutation] {
					t.Logf("message %d %s: %v", violation.Message, violation.Mutation, violation.Err)
					continue
				}
				t.Errorf("message %d %s: %v", violation.Message, violation.Mutation, violation.Err)
			}
		})
	}
}

// Each safeguard taken out must be found.
func TestSimulationFindsPlantedFaults(t *testing.T) {
	for name, plant := range map[string]func(sim *simulation){
		"send before agreement":      func(sim *simulation) { sim.sendBeforeCommit = true },
		"no fence":                   func(sim *simulation) { sim.ignoreFencing = true },
		"the same key twice":         func(sim *simulation) { sim.ignoreKeys = true },
		"a vote after a lost memory": func(sim *simulation) { sim.reuseIncarnation = true },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= 60; seed++ {
				if err := runWithFaults(seed, plant); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Error("not found in 60 drawn runs")
		})
	}
}

// longestOutage is the longest time in which no job was taken around what happens after 5 s, of jobs handed in every 50 ms.
func longestOutage(seed uint64, happens func(sim *simulation)) float64 {
	sim := newSimulation(seed, 5, 3)
	sim.idle = true
	sim.runUntil(sim.now + 3)
	start, lastTaken, longest := sim.now, sim.now, 0.0
	for i := 0; sim.now < start+15; i++ {
		if sim.now >= start+5 && happens != nil {
			happens(sim)
			happens = nil
		}
		key := fmt.Sprint("k", i)
		for _, host := range sim.hosts {
			if host.replica != nil && !host.paused && host.replica.IsVoter() {
				command := jobstate.Command{Kind: jobstate.CommandSubmit, TimeMS: int64(sim.now * 1000), Tenant: "t", Key: key, Class: "x"}
				host.pendingSubmits[key] = command
				host.replica.Propose(sim.now, command.Encode())
				sim.processOutput(host)
			}
		}
		before := len(sim.acknowledged)
		sim.runUntil(sim.now + 0.05)
		if len(sim.acknowledged) > before {
			longest = max(longest, sim.now-lastTaken)
			lastTaken = sim.now
		}
	}
	return max(longest, sim.now-lastTaken)
}

func TestOutageDuration(t *testing.T) {
	for _, c := range []struct {
		name    string
		most    float64 // seconds; 0.1 is none: a job in each 50 ms is taken
		happens func(sim *simulation)
	}{
		{"nothing happens", 0.1, func(sim *simulation) {}},
		{"the leader hands over and ends", 0.1, func(sim *simulation) {
			host := sim.leader()
			host.replica.TransferLeadership()
			sim.processOutput(host)
			sim.runUntil(sim.now + 0.05)
			sim.kill(host)
		}},
		{"the leader is killed", 3, func(sim *simulation) { sim.kill(sim.leader()) }},
		{"the leader stalls", 4.5, // two elections, where the first is split
			func(sim *simulation) { sim.leader().paused = true }},
	} {
		var outages []float64
		for seed := uint64(1); seed <= 50; seed++ {
			outages = append(outages, longestOutage(seed, c.happens))
		}
		slices.Sort(outages)
		t.Logf("%s: %.2f s at the median of 50 runs, %.2f at worst", c.name, outages[25], outages[49])
		if outages[49] > c.most+1e-6 {
			t.Errorf("%s: %.2f s without promises; %.2f at most", c.name, outages[49], c.most)
		}
	}
}

func TestProposeWithoutMajority(t *testing.T) {
	sim := newSimulation(1, 3, 3)
	sim.idle = true
	sim.runUntil(sim.now + 3)
	sim.partitioned = func(from, to int) bool { return true }
	sim.runUntil(sim.now + 4)
	for _, host := range sim.hosts {
		err := host.replica.Propose(sim.now, (&jobstate.Command{Kind: jobstate.CommandAdvanceTime}).Encode())
		var noMajority *jobreplica.NoMajorityError
		if !errors.As(err, &noMajority) || noMajority.RetryMS <= 0 || noMajority.Reachable != 1 || noMajority.Voters != 3 {
			t.Errorf("%s: %v", host.member.Name, err)
		}
	}
}

func TestLeaderStepsDownAfterPause(t *testing.T) {
	sim := newSimulation(1, 3, 3)
	sim.idle = true
	sim.runUntil(sim.now + 3)
	host := sim.leader()
	host.paused = true
	sim.runUntil(sim.now + 60)
	host.paused, host.heldDatagrams = false, nil // what came meanwhile is lost
	host.replica.Tick(sim.now)
	if host.replica.IsLeader() {
		t.Error("it leads on after 60 s of sleep")
	}
}

// A copy that is far behind gets a snapshot in pages: 500 of them, of which a fifth gets lost, are asked for again.
func TestSnapshotWithFragmentLoss(t *testing.T) {
	sim := newSimulation(2, 4, 3)
	sim.idle = true
	sim.runUntil(sim.now + 3)
	host := sim.leader()
	for i := range 200 {
		command := jobstate.Command{Kind: jobstate.CommandSubmit, TimeMS: int64(sim.now * 1000), Tenant: "t", Key: fmt.Sprint(i), Class: "x", Data: make([]byte, 3000)}
		if err := host.replica.Propose(sim.now, command.Encode()); err != nil {
			t.Fatal(err)
		}
		sim.processOutput(host)
		sim.runUntil(sim.now + 0.02)
	}
	sim.kill(sim.follower())
	sim.dropRate = 0.2
	sim.runUntil(sim.now + 60)
	voters := sim.voters()
	if len(voters) != 3 || !sim.converged() {
		t.Fatalf("%d copies", len(voters))
	}
	for _, host := range voters {
		if jobs, _ := host.state.Usage(); jobs != 200 {
			t.Errorf("%s holds %d jobs", host.member.Name, jobs)
		}
	}
}

func TestChooseMembersSpreadsFailureDomains(t *testing.T) {
	var members []jobreplica.Member
	for i := range 9 {
		members = append(members, jobreplica.Member{ID: uint64(i + 1), Name: fmt.Sprint("m", i), Host: fmt.Sprint("host", i/2), Zone: fmt.Sprint(i / 4)})
	}
	chosen := jobreplica.ChooseMembers(members, nil, 3)
	slices.Reverse(members)
	if again := jobreplica.ChooseMembers(members, nil, 3); !slices.Equal(chosen, again) {
		t.Errorf("%v, in another order %v", chosen, again)
	}
	zones, hosts := map[string]bool{}, map[string]bool{}
	for _, m := range chosen {
		zones[m.Zone], hosts[m.Host] = true, true
	}
	if len(zones) != 3 || len(hosts) != 3 {
		t.Errorf("%v", chosen)
	}
	if got := jobreplica.ChooseMembers(members, nil, 9); len(got) != 5 {
		t.Errorf("%d copies on 5 machines", len(got))
	}
}

// Every problem has a code and a word for operators, and both stand on their page.
func TestErrorsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../../../docs/promises.md")
	if err != nil {
		t.Fatal(err)
	}
	cause := errors.New("none")
	for _, coded := range []jobstate.CodedError{&jobreplica.NoMajorityError{}, &jobreplica.NotReplicaError{}, &jobreplica.StoppedError{Cause: cause}, &jobreplica.CommandTooLongError{}, &jobreplica.ReplacedError{}} {
		if coded.Code() == "" || coded.Remedy() == "" || !strings.Contains(string(page), "`"+coded.Code()+"`") || !strings.Contains(string(page), coded.Remedy()) {
			t.Errorf("%T: %q is not on the page as it is", coded, coded.Code())
		}
	}
}

func FuzzReassemble(f *testing.F) {
	sender := jobreplica.NewFragmenter("test", 1, 1<<16)
	for _, datagram := range sender.Fragment(jobreplica.Outgoing{To: 2, Data: make([]byte, 3000)}) {
		f.Add(datagram)
	}
	f.Fuzz(func(t *testing.T, datagram []byte) {
		message, err := jobreplica.NewFragmenter("test", 2, 1<<16).Reassemble(datagram)
		if err == nil && message != nil {
			replica := jobreplica.New(0, jobreplica.Options{Self: jobreplica.Member{ID: 2}, Replicas: 3, ElectionTimeout: 1, HeartbeatInterval: 0.1, ReplaceAfter: 8, CompactionThreshold: 64, MaxCommandBytes: 1 << 16,
				StateMachine: &plantedStateMachine{jobstate.New(stateLimits), &simulation{}}})
			replica.Step(1, message)
		}
	})
}

func TestPartialMessagesAreBounded(t *testing.T) {
	sender, receiver := jobreplica.NewFragmenter("test", 1, 1<<16), jobreplica.NewFragmenter("test", 2, 1<<16)
	for range 1000 {
		for i, datagram := range sender.Fragment(jobreplica.Outgoing{To: 2, Data: make([]byte, 5000)}) {
			if i > 0 { // the first page is always lost
				if message, err := receiver.Reassemble(datagram); message != nil || err != nil {
					t.Fatal(message, err)
				}
			}
		}
	}
	if held := receiver.PartialBytes(); held > 1<<16+5000 || len(receiver.Tick(0)) != 0 {
		t.Errorf("%d bytes of half messages", held)
	}
	for i, datagram := range sender.Fragment(jobreplica.Outgoing{To: 2, Data: make([]byte, 5000)}) {
		message, err := receiver.Reassemble(datagram)
		if err != nil || (message != nil) != (i == 4) {
			t.Errorf("page %d: %d bytes, %v", i, len(message), err)
		}
	}
}
