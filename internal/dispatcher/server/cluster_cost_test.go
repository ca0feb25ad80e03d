package server

import (
	"flag"
	"slices"
	"testing"
	"time"

	"cinderroad/internal/testkit/processcluster"
)

var (
	beside    = flag.String("fleet.beside", "", "measure the processor's time for a job beside this `program`")
	costTurns = flag.Int("fleet.turns", 10, "turns of that measurement")
)

// TestFleetCost measures by hand what a job costs a dispatcher: another program (the tree before), this one with the section
// off, and with it on among five.
func TestFleetCost(t *testing.T) {
	if *beside == "" {
		t.Skip("by hand, with -fleet.beside PROGRAM")
	}
	costs := map[string][]float64{}
	turn := func(name, path string, members int, off bool) {
		t.Run(name, func(t *testing.T) {
			r := processcluster.Start(t, processcluster.Options{
				Program:              path,
				Members:              members,
				Runners:              4,
				JobsPerSecond:        400,
				JobSeconds:           0.002,
				RunnerSlots:          16,
				Standalone:           off,
				ProbeIntervalSeconds: 1,
			})
			m := r.Members[0]
			for _, o := range r.Members[1:] { // running, and idle
				o.StopClients()
			}
			time.Sleep(time.Second)
			before, served := cpuOf(t, m.PID()), r.ServedJobs()
			time.Sleep(5 * time.Second)
			spent, jobs := cpuOf(t, m.PID())-before, r.ServedJobs()-served
			costs[name] = append(costs[name], 1e6*spent/float64(jobs))
			r.Check()
		})
	}
	for range *costTurns {
		turn("the program beside", *beside, 1, true)
		turn("off", program, 1, true)
		turn("on, one of five", program, 5, false)
	}
	for _, name := range []string{"the program beside", "off", "on, one of five"} {
		v := costs[name]
		slices.Sort(v)
		t.Logf("%s: %.1f µs a job (median of %d; %.1f to %.1f)", name, v[len(v)/2], len(v), v[0], v[len(v)-1])
	}
}
