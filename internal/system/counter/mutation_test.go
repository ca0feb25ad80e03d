package counter

import (
	"errors"
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"cinderroad/internal/testkit/mutate"
)

var mutateAll = flag.Bool("mutate.all", false, "play every mutation of every message")

// forgery is what well-formed messages that nobody sent may change.
type forgery struct {
	happened  bool
	positions map[entryPosition]bool // where they claim operations
	amounts   map[Operation]bool     // operations that may count here and not there
}

func newForgery() forgery {
	return forgery{positions: map[entryPosition]bool{}, amounts: map[Operation]bool{}}
}

// affect records an operation that may count here and not there.
func (f *forgery) affect(operation Operation) { f.amounts[operation] = true }

// record records a message in place of another one.
func (f *forgery) record(data []byte) {
	message, ok := decodeMessage(data)
	if !ok {
		return
	}
	_, ranges, err := decodeExchange(&message.From, message.Vector, message.Ranges)
	if err != nil {
		return
	}
	f.happened = true
	for _, forged := range ranges {
		for i, operation := range forged.operations {
			f.positions[entryPosition{forged.origin, forged.first + uint64(i)}] = true
			f.affect(operation)
		}
	}
}

// slack returns by how much the total of a counter may be wrong.
func (f *forgery) slack(name string) (sum Total) {
	for operation := range f.amounts {
		if operation.Counter == name {
			sum = sum.Add(max(operation.Amount, -operation.Amount))
		}
	}
	return sum
}

// concerns reports whether an ID may count here and not there.
func (f *forgery) concerns(id string) bool {
	for operation := range f.amounts {
		if operation.ID == id {
			return true
		}
	}
	return false
}

// forgeVariants returns well-formed messages that nobody sent, by the name of what is changed.
func forgeVariants(data []byte) map[string][]byte {
	original, ok := decodeMessage(data)
	if !ok {
		return nil
	}
	vector, ranges, err := decodeExchange(&original.From, original.Vector, original.Ranges)
	if err != nil {
		return nil
	}
	variants := map[string][]byte{}
	forge := func(name string, change func(message *simulatedMessage, vector VersionVector, ranges []entryRange) []entryRange) {
		message := original
		changed := vector.Clone()
		copied := slices.Clone(ranges)
		for i := range copied {
			copied[i].operations = slices.Clone(copied[i].operations)
		}
		copied = change(&message, changed, copied)
		message.Vector = encodeVector(&message.From, logsOf(changed))
		message.Ranges = encodeRanges(&message.From, copied)
		variants[name] = encodeMessage(message)
	}
	forgeVectors(forge)
	invented := []Operation{{"invented", "t1", 50}}
	forge("pull", func(message *simulatedMessage, _ VersionVector, ranges []entryRange) []entryRange {
		message.Pull = !message.Pull
		return ranges
	})
	for origin := range Origin(4) {
		forge(fmt.Sprintf("entry of %d", origin+1), func(_ *simulatedMessage, vector VersionVector, ranges []entryRange) []entryRange {
			return append(ranges, entryRange{origin + 1, vector[origin+1] + 1, invented})
		})
	}
	if len(ranges) > 0 {
		forgeRanges(forge)
	}
	return variants
}

// forgeFunc makes a variant of a message.
type forgeFunc = func(name string, change func(*simulatedMessage, VersionVector, []entryRange) []entryRange)

// forgeVectors makes variants with other vectors and origins.
func forgeVectors(forge forgeFunc) {
	for name, change := range map[string]func(message *simulatedMessage, vector VersionVector){
		"origin": func(message *simulatedMessage, _ VersionVector) { message.From.Origin = 777 },
		"vector ahead": func(_ *simulatedMessage, vector VersionVector) {
			for origin := range vector {
				vector[origin] += 3
			}
		},
		"vector behind": func(_ *simulatedMessage, vector VersionVector) {
			for origin := range vector {
				vector[origin] = max(1, vector[origin]-1)
			}
		},
		"vector empty": func(_ *simulatedMessage, vector VersionVector) { clear(vector) },
		"vector of all origins": func(_ *simulatedMessage, vector VersionVector) {
			vector.merge(VersionVector{1: 99, 2: 99, 3: 99, 4: 99})
		},
	} {
		forge(name, func(message *simulatedMessage, vector VersionVector, ranges []entryRange) []entryRange {
			change(message, vector)
			return ranges
		})
	}
}

// forgeRanges makes variants with other ranges.
func forgeRanges(forge forgeFunc) {
	for name, change := range map[string]func(first *entryRange){
		"amount":     func(first *entryRange) { first.operations[0].Amount += 100 },
		"id":         func(first *entryRange) { first.operations[0].ID = "other" },
		"counter":    func(first *entryRange) { first.operations[0].Counter = "t2" },
		"later":      func(first *entryRange) { first.first++ },
		"earlier":    func(first *entryRange) { first.first = max(1, first.first-1) },
		"log":        func(first *entryRange) { first.origin = first.origin%3 + 1 },
		"far beyond": func(first *entryRange) { first.first = maxSequence },
	} {
		forge("range "+name, func(_ *simulatedMessage, _ VersionVector, ranges []entryRange) []entryRange {
			change(&ranges[0])
			return ranges
		})
	}
}

// mutationScenario has three machines accept operations together, apart and again together, and lose a disk.
func mutationScenario(tamper mutate.Tamper) (outcome string, err error) {
	sim := newSimulation(1)
	sim.faults = false
	sim.profile = simulationProfile{machines: 3, durability: Durability{Machines: 2, Zones: 2}, maxSyncTime: 2 * time.Millisecond}
	sim.tamper = func(number int, message mutate.Message) []mutate.Delivery {
		deliveries := tamper(number, message)
		for _, delivery := range deliveries {
			if !slices.Equal(delivery.Data, message.Data) {
				sim.observed.forged.record(delivery.Data)
			}
		}
		return deliveries
	}
	sim.start()
	sim.run(4 * time.Second)
	send := func(index int, id string, amount int64) {
		sim.sendTo(index, Operation{id, counterNames[amount%3], amount})
		sim.run(7 * time.Millisecond)
	}
	send(0, "a", 1)
	send(1, "b", 2)
	sim.cut(0)
	sim.run(300 * time.Millisecond)
	send(0, "c", 4)
	send(2, "d", 8)
	send(0, "e", 16)
	send(2, "c", 4)
	sim.run(time.Second)
	sim.heal()
	send(1, "f", 32)
	send(0, "f", 32)
	sim.run(time.Second)
	second := sim.machines[1]
	second.process.kill(false)
	sim.loseDisk(second)
	second.boot()
	send(2, "g", 64)
	sim.run(2 * mergeLimit)
	return sim.outcome(), sim.checkMutated()
}

// checkMutated checks that the totals are right, but for what forged messages say.
func (sim *simulation) checkMutated() error {
	forged := &sim.observed.forged
	if !forged.happened {
		sim.checkComplete(sim.now)
		sim.checkEqual()
	}
	for _, name := range counterNames {
		var want Total
		for _, operation := range sim.observed.possible {
			if operation.Counter == name {
				want = want.Add(operation.Amount)
			}
		}
		slack := forged.slack(name)
		for _, machine := range sim.machines {
			total := machine.process.node.operations.total(name)
			isLow := total.Compare(want) < 0 && addTotals(total, slack).Compare(want) < 0
			isHigh := total.Compare(want) > 0 && addTotals(want, slack).Compare(total) < 0
			if isLow || isHigh {
				sim.fail("machine %d reads %v of %s, want %v with a slack of %v", machine.index, total, name, want, slack)
			}
		}
	}
	for _, operation := range sim.observed.possible {
		for _, machine := range sim.machines {
			if !forged.concerns(operation.ID) && machine.process.node.operations.counted(operation.ID) == 0 {
				sim.fail("machine %d lacks %+v", machine.index, operation)
			}
		}
	}
	if sim.failure != "" {
		return errors.New(sim.failure)
	}
	return nil
}

// addTotals returns a sum of totals that are small.
func addTotals(a, b Total) Total { return a.Add(int64(b.low)) }

// TestToleratesAnyMutatedMessage checks that no change of a single message makes a total wrong, beyond the operations in it.
func TestToleratesAnyMutatedMessage(t *testing.T) {
	options := mutate.Options{
		Delays:       []float64{0.3, 0.7, 2.5},
		Variants:     forgeVariants,
		Stride:       29,
		Parallelism:  3,
		OtherMembers: []uint64{0, 1, 2},
	}
	if *mutateAll {
		options.Stride = 1
	}
	report, err := mutate.RunAll(mutationScenario, options)
	if err != nil {
		t.Fatal(err)
	}
	t.Log(report)
	for _, violation := range report.Violations {
		t.Errorf("message %d %s: %v", violation.Message, violation.Mutation, violation.Err)
	}
}
