package emulator

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime"
	"testing"
	"time"

	"cinderroad/internal/system/configuration"
	"cinderroad/internal/system/emulator/schedule"
	"cinderroad/internal/system/policysim"
	"cinderroad/internal/testkit/client"
	"cinderroad/internal/testkit/racedetector"
	"cinderroad/internal/testkit/seeds"
)

// soakSizeVariable names the size of the runs: small, which is the default, or large.
const soakSizeVariable = "SOAK_SIZE"

// defaultSoakSeeds is the number of seeds that CI runs.
const defaultSoakSeeds = 2

// Times of a run, which take no account of the start and the end of the programs.
const (
	stormBegin = time.Second
	stormTime  = 12 * time.Second
	calmTime   = 14 * time.Second // the last processes end, start again, and are in touch
)

// soakSize is the size of a run.
type soakSize struct {
	edges   int
	series  int
	runners int     // multiplies those of the scenario
	load    float64 // multiplies the rates of the scenario
}

var soakSizes = map[string]soakSize{
	"":      {edges: 4, series: 8, runners: 1, load: 0.7},
	"small": {edges: 4, series: 8, runners: 1, load: 0.7},
	"large": {edges: 60, series: 60, runners: 4, load: 2},
}

// soakScenario returns the traffic of a soak test: beside that of the screening deployment, requests that must run once, and
// streams that outlast the grace period.
func soakScenario(size soakSize) *policysim.Scenario {
	s := policysim.Screening()
	s.Name = "soak"
	s.Duration = stormBegin + stormTime + calmTime
	s.Load = size.load
	for i := range s.Services {
		for zone := range s.Services[i].Runners {
			s.Services[i].Runners[zone] *= size.runners
		}
	}
	essay := s.Classes[2]
	essay.Name = "essay"
	essay.RequestsPerSecond = 2
	essay.Deadline = 25 * time.Second
	essay.HomeRegions = nil
	essay.Events = policysim.SizeDistribution{Mean: 420, Spread: 0.3, Max: 600}
	book := s.Classes[3]
	book.Name = "book"
	book.Type = configuration.ReadWrite
	book.RequestsPerSecond = 12
	book.Deadline = 3 * time.Second
	book.MaxAttempts = 2
	lookup := s.Classes[3]
	s.Classes = append(s.Classes[:3:3], essay, book, lookup)
	return s
}

// alterCalls has some clients send their bodies slowly, and some leave.
func alterCalls(seed uint64) func(*client.Call) {
	const (
		alterStream  = 23 // of the generator, beside those of other users of the same seed
		slowOneIn    = 15
		leaveOneIn   = 12
		longestPause = time.Second
		longestStay  = 600 * time.Millisecond
	)
	random := rand.New(rand.NewPCG(seed, alterStream))
	return func(call *client.Call) {
		if random.IntN(slowOneIn) == 0 {
			call.BodyPause = time.Duration(random.Int64N(int64(longestPause)))
		}
		if random.IntN(leaveOneIn) == 0 {
			call.LeaveAfter = time.Duration(1 + random.Int64N(int64(longestStay)))
		}
	}
}

// soakFolder returns a folder for the disks and logs of a run: in memory if the machine has such a place, because a run is
// not about how long a disk takes that other programs use as well.
func soakFolder(t *testing.T, seed uint64) string {
	t.Helper()
	const inMemory = "/dev/shm"
	if info, err := os.Stat(inMemory); err != nil || !info.IsDir() {
		return t.TempDir()
	}
	folder, err := os.MkdirTemp(inMemory, fmt.Sprintf("cinderroad-soak-%d-", seed))
	if err != nil {
		return t.TempDir()
	}
	t.Cleanup(func() {
		if !t.Failed() {
			os.RemoveAll(folder)
		}
	})
	return folder
}

// TestSoak runs the real programs under storms of overlapping faults that follow from seeds. MODEL_SEED=N replays one,
// MODEL_SEEDS=N runs that many, SOAK_SIZE=large runs as many processes as a machine bears well.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("a run takes more than half a minute")
	}
	size, known := soakSizes[os.Getenv(soakSizeVariable)]
	if !known {
		t.Fatalf("%s: there is no such size", soakSizeVariable)
	}
	chosen, err := seeds.FromEnvironment(defaultSoakSeeds)
	if err != nil {
		t.Fatal(err)
	}
	programs := buildPrograms(t, "debug")
	var first resources
	for i, seed := range chosen {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { runSoak(t, programs, size, seed) })
		if i == 0 && len(chosen) > 1 {
			first = settledResources(resources{})
		} else if i > 0 {
			checkResources(t, seed, first)
		}
	}
}

// checkResources fails the test if there is more left than after the first run.
func checkResources(t *testing.T, seed uint64, first resources) {
	t.Helper()
	if now := settledResources(first); now.exceed(first) {
		t.Errorf("after seed %d: %+v, after the first: %+v", seed, now, first)
	}
}

// runSoak runs one seed and fails the test if a rule was broken.
func runSoak(t *testing.T, programs string, size soakSize, seed uint64) {
	t.Helper()
	scenario := soakScenario(size)
	events := schedule.Draw(seed, schedule.Shape{
		Edges:    size.edges,
		Controls: coreMachineCount,
		Zones:    len(scenario.Zones),
		Storm:    stormTime,
		Series:   size.series,
	})
	folder := soakFolder(t, seed)
	var out bytes.Buffer
	report, err := Run(context.Background(), Options{
		Scenario:     scenario,
		EdgeMachines: size.edges,
		ProgramDir:   programs,
		WorkDir:      folder,
		Storm:        &Storm{Events: events, Begin: stormBegin},
		Counters:     true,
		StickyOneIn:  3,
		AlterCall:    alterCalls(seed),
		Seed:         seed,
		Out:          &out,
	})
	if err != nil {
		t.Errorf("%v", err)
	} else {
		checkSoakReport(t, report, &out)
	}
	if racedetector.Enabled {
		checkNoRaces(t, folder)
	}
	if t.Failed() {
		progress := filepath.Join(folder, "progress.txt")
		os.WriteFile(progress, out.Bytes(), 0o640)
		t.Errorf("replay: %s=%d %s=%s go test -run TestSoak ./internal/system/emulator; %s tells what was seen; schedule:\n%s",
			seeds.One, seed, soakSizeVariable, os.Getenv(soakSizeVariable), progress, schedule.Format(events))
	}
}

// checkSoakReport fails the test if a rule was broken or a process ended by itself.
func checkSoakReport(t *testing.T, report *Report, out *bytes.Buffer) {
	t.Helper()
	report.Print(out)
	for _, violation := range report.Violations {
		t.Error(violation)
	}
	for _, p := range report.Processes {
		if p.UnexpectedEnds > 0 || p.RestartError != nil {
			t.Errorf("%s on %s ended by itself %d times; not started again: %v", p.Program, p.Machine, p.UnexpectedEnds, p.RestartError)
		}
	}
	if report.Clients.Served == 0 {
		t.Error("nothing was served")
	}
	t.Logf("%s left=%d cut=%v slowed_samples=%d", report.Clients.String(), report.Clients.Left, report.CutRequests, report.SlowedSamples)
	if testing.Verbose() {
		t.Log(out.String())
	}
}

// resources is what a run may leave behind in the test's own process.
type resources struct{ descriptors, goroutines int }

// exceed reports whether there is more than there was.
func (r resources) exceed(earlier resources) bool {
	return r.descriptors > earlier.descriptors || r.goroutines > earlier.goroutines
}

// settledResources returns the resources in use once they do not exceed the limit, or after a while; connections take a moment to
// close. Without a limit, it waits for shorter.
func settledResources(limit resources) resources {
	const attempts, attemptsWithoutLimit, pause = 60, 8, 250 * time.Millisecond
	count := attempts
	if limit == (resources{}) {
		count = attemptsWithoutLimit
	}
	lowest := countResources()
	for range count {
		if limit != (resources{}) && !lowest.exceed(limit) {
			break
		}
		time.Sleep(pause)
		now := countResources()
		lowest.descriptors = min(lowest.descriptors, now.descriptors)
		lowest.goroutines = min(lowest.goroutines, now.goroutines)
	}
	return lowest
}

func countResources() resources {
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return resources{}
	}
	return resources{descriptors: len(entries), goroutines: runtime.NumGoroutine()}
}
