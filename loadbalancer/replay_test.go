package loadbalancer

import (
	"encoding/json"
	"fmt"
	"hash"
	"hash/fnv"
	"maps"
	"math"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"testing"
)

// hashingActions hashes all actions of a Balancer in their order and with all bits of their numbers, and passes them on.
type hashingActions struct {
	Actions
	sum   hash.Hash64
	count int
}

func (h *hashingActions) note(format string, args ...any) {
	h.count++
	fmt.Fprintf(h.sum, format+"\n", args...)
}

func (h *hashingActions) Send(id RequestID, w WorkerID, timeout float64) {
	h.note("send %d %d %x", id, w, math.Float64bits(timeout))
	h.Actions.Send(id, w, timeout)
}

func (h *hashingActions) Reject(id RequestID, wait float64) {
	h.note("refuse %d %x", id, math.Float64bits(wait))
	h.Actions.Reject(id, wait)
}

func (h *hashingActions) Fail(id RequestID) {
	h.note("fail %d", id)
	h.Actions.Fail(id)
}

func (h *hashingActions) Cancel(id RequestID, attempt int) {
	h.note("cancel %d %d", id, attempt)
	h.Actions.Cancel(id, attempt)
}

func (h *hashingActions) Probe(w WorkerID) {
	h.note("probe %d", w)
	h.Actions.Probe(w)
}

func (h *hashingActions) SetTimer(token uint32, at float64) {
	h.note("timer %d %x", token, math.Float64bits(at))
	h.Actions.SetTimer(token, at)
}

func (h *hashingActions) Watch(on bool) {
	h.note("watch %v", on)
	h.Actions.Watch(on)
}

func (h *hashingActions) Fetch() {
	h.note("fetch")
	h.Actions.Fetch()
}

func (h *hashingActions) Log(line string) {
	h.note("log %s", line)
	h.Actions.Log(line)
}

// replayed runs a simulation and returns the hash of all actions, of all snapshots and of the status of each worker.
func replayed(t *testing.T, plan simulationPlan, seed uint64, withInstanceShare bool) (sum uint64, actions int) {
	t.Helper()
	h := &hashingActions{sum: fnv.New64a()}
	var all []*Balancer
	decide := func(s Settings, seed uint64, act Actions) decider {
		b, err := New(s, seed, &hashingActions{Actions: act, sum: h.sum})
		if err != nil {
			t.Fatal(err)
		}
		if withInstanceShare {
			keys := make([]uint64, s.Instances)
			for i := range keys {
				keys[i] = uint64(i+1) * 0x9e3779b97f4a7c15
			}
			err := b.SetInstanceShare(InstanceShare{
				Instances:    s.Instances,
				Instance:     s.Instance,
				BudgetShare:  0.5,
				InstanceKeys: keys,
			})
			if err != nil {
				t.Fatal(err)
			}
		}
		all = append(all, b)
		return b
	}
	sim := newSimulation(plan, seed, decide)
	share, byClass := sim.run()
	h.note("%x %x %d %d %d", math.Float64bits(share), byClass, sim.rejected, sim.failed, sim.late)
	for _, b := range all {
		actions += b.actions.(*hashingActions).count
		learnt, err := json.Marshal(b.Snapshot())
		if err != nil {
			t.Fatal(err)
		}
		h.note("%s", learnt)
		for _, worker := range sim.workers {
			status, known := b.WorkerStatus(sim.now, worker.ID)
			h.note("{Room:%v Ceiling:%v UtilCeil:%v Own:%v Others:%v Pace:%v Errors:%v Shunned:%v Warmth:%v ColdSent:%v} %v",
				status.SpareCapacity, status.LoadLimit, status.UtilizationLimit, status.OwnSlots, status.OtherJobs, status.Pace,
				status.ErrorRate, status.Ejected, status.Warmth, status.SlowStartWork, known) // labels as they were recorded
		}
	}
	return h.sum.Sum64(), actions
}

// recordedRun is a line of testdata/replay.txt.
func recordedRun(name string, sum uint64, actions int) string {
	return fmt.Sprintf("%016x %7d %s", sum, actions, name)
}

// simulatedRuns plays the simulations, in order of their names.
func simulatedRuns(t *testing.T) (runs []string) {
	t.Helper()
	plans := omittedPlans()
	restarting := planWithReports()
	restarting.restarts = true
	restarting.slowdown = 4
	plans["all told, a third starts anew, some slow down"] = restarting
	for _, name := range slices.Sorted(maps.Keys(plans)) {
		for _, load := range []float64{0.7, 1.4} {
			for _, withInstanceShare := range []bool{false, true} {
				plan := plans[name]
				if withInstanceShare && !plan.restarts {
					continue // a share counts only where workers are in slow start
				}
				plan.load = load
				plan.length = min(plan.length, 10)
				sum, actions := replayed(t, plan, 3, withInstanceShare)
				label := fmt.Sprintf("%s, load %.1f, place told %v", name, load, withInstanceShare)
				runs = append(runs, recordedRun(label, sum, actions))
			}
		}
	}
	return runs
}

// randomEventRuns plays random events with each variant of the settings.
func randomEventRuns(t *testing.T) (runs []string) {
	t.Helper()
	for v, s := range variants() {
		for seed := int64(1000); seed < 1010; seed++ {
			trace := playRandomEvents(t, s, seed, 800)
			sum := fnv.New64a()
			fmt.Fprint(sum, strings.Join(trace, "\n"))
			label := fmt.Sprintf("odd events, variant %d, seed %d", v, seed)
			runs = append(runs, recordedRun(label, sum.Sum64(), len(trace)))
		}
	}
	return runs
}

// The actions of a Balancer are recorded in testdata/replay.txt: a change that should change no decision leaves every hash as
// it is. One that should writes the file anew with REPLAY_RECORD=1, and its commit gives the reason.
func TestRecordedRunsAreReplayed(t *testing.T) {
	if runtime.GOARCH != "amd64" {
		t.Skip("recorded on amd64; other processors round products that are added differently")
	}
	got := append(simulatedRuns(t), randomEventRuns(t)...)
	file := filepath.Join("testdata", "replay.txt")
	if os.Getenv("REPLAY_RECORD") != "" {
		if err := os.WriteFile(file, []byte(strings.Join(got, "\n")+"\n"), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	recorded, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	want := strings.Split(strings.TrimSpace(string(recorded)), "\n")
	if len(want) != len(got) {
		t.Fatalf("%d runs, %d are recorded", len(got), len(want))
	}
	for i := range got {
		if got[i] != want[i] {
			t.Errorf("got  %s\nwant %s", got[i], want[i])
		}
	}
}
