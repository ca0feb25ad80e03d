package hollow

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"cinderroad/internal/system/control"
	"cinderroad/internal/system/logfmt"
	"cinderroad/internal/system/processconfig"
)

var (
	sizes   = flag.String("hollow.agents", "4", "numbers of agents to measure")
	window  = flag.Duration("hollow.window", 300*time.Millisecond, "how long each load is measured")
	runners = flag.Int("hollow.runners", 30, "runners on the platform's list")
	routes  = flag.Int("hollow.routes", 20, "routes of the configuration")
	zones   = flag.Int("hollow.zones", 3, "zones")
	calm    = flag.Duration("hollow.calm", 0, "how long to wait, at most, for the membership to have told all of all")
)

const (
	roleVariable   = "HOLLOW_ROLE" // has the test's own program run a control process
	roleControl    = "control"
	settleWithin   = 3 * time.Minute
	lookEvery      = 50 * time.Millisecond
	garbagePercent = 25 // as cmd/cinderroad-control has it
)

func TestMain(m *testing.M) {
	if os.Getenv(roleVariable) == roleControl {
		os.Exit(runControl())
	}
	os.Exit(m.Run())
}

// runControl is a control process, as cmd/cinderroad-control runs it.
func runControl() int {
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(garbagePercent)
	log := logfmt.New(os.Stderr, zapcore.InfoLevel)
	settings, err := processconfig.Load()
	if err != nil {
		log.Error("ended", zap.Error(err))
		return 1
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	process, err := control.Start(ctx, control.Options{Settings: settings, Version: "hollow", Log: log})
	if err == nil {
		err = process.Run(ctx)
	}
	if err != nil {
		log.Error("ended", zap.Error(err))
		return 1
	}
	return 0
}

// TestSizes has systems of each size settle, and prints what they take. With the flags' defaults it shows that the
// measurement works; its figures are worth something at the sizes that docs/CAPACITY.md names.
func TestSizes(t *testing.T) {
	for _, text := range strings.Split(*sizes, ",") {
		agents, err := strconv.Atoi(strings.TrimSpace(text))
		if err != nil {
			t.Fatal(err)
		}
		t.Run(fmt.Sprint(agents), func(t *testing.T) { measure(t, agents) })
	}
}

func measure(t *testing.T, agents int) {
	t.Setenv(roleVariable, roleControl)
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	started := time.Now()
	s, err := Start(t.Context(), Options{Agents: agents, Zones: *zones, Runners: *runners, Routes: *routes,
		Folder: t.TempDir(), Control: []string{self}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	settle(t, s)
	t.Logf("%d agents settled after %v", agents, time.Since(started).Round(time.Millisecond))
	quieten(t, s)
	for _, load := range Loads() {
		m, err := s.Measure(t.Context(), load, *window)
		if err != nil {
			t.Fatal(err)
		}
		if len(m.ControlAnonymous) != controlMachines || m.ControlAnonymous[0] == 0 || m.AgentHeap <= 0 {
			t.Errorf("not measured: %+v", m)
		}
		report(t, m)
		settle(t, s)
	}
}

func settle(t *testing.T, s *System) {
	t.Helper()
	deadline := time.Now().Add(settleWithin)
	for {
		settled, err := s.Settled(t.Context())
		if settled {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("not settled after %v: %v", settleWithin, err)
		}
		<-time.After(lookEvery)
	}
}

// quieten waits until agents send few datagrams: right after a start they exchange what they know of each other.
func quieten(t *testing.T, s *System) {
	t.Helper()
	const (
		look = 3 * time.Second
		few  = 5.0 // datagrams a second of an agent, of which a quiet one sends about four
	)
	for deadline := time.Now().Add(*calm); time.Now().Before(deadline); {
		m, err := s.Measure(t.Context(), Load{}, look)
		if err != nil {
			t.Fatal(err)
		}
		if m.Datagrams < few {
			return
		}
		t.Logf("%.1f datagrams a second of an agent", m.Datagrams)
	}
}

func report(t *testing.T, m *Measurement) {
	t.Helper()
	var controls []string
	for i := range m.ControlProcessor {
		controls = append(controls, fmt.Sprintf("%.2f%% %.1f MB (%.1f)", 100*m.ControlProcessor[i],
			float64(m.ControlAnonymous[i])/1e6, float64(m.ControlResident[i])/1e6))
	}
	t.Logf("%4d agents, %-17s | agent: %.3f%% of a core, %.0f KB heap, %.2f datagrams/s, %.0f B/s in them, "+
		"all: %.1f KB/s TCP, %.1f KB/s list | control: %s", m.Agents, m.Load.Name, 100*m.AgentProcessor, m.AgentHeap/1e3, m.Datagrams,
		m.DatagramBytes, m.Streams/1e3, m.Platform/1e3, strings.Join(controls, ", "))
}
