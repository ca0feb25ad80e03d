package server

import (
	"encoding/binary"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os/exec"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"cinderroad/internal/shared/membership"
	"cinderroad/internal/testkit/processcluster"
	"cinderroad/internal/testkit/receivers"
)

var fleetN = flag.Int("fleet.n", 5, "processes of a fleet test")

// fleetOf starts a cluster, of fleetN members and four runners unless options say otherwise. The test runs in parallel.
func fleetOf(t *testing.T, o processcluster.Options) *processcluster.Cluster {
	t.Helper()
	t.Parallel()
	o.Program = program
	if o.Members == 0 {
		o.Members = *fleetN
	}
	if o.Runners == 0 {
		o.Runners = 4
	}
	return processcluster.Start(t, o)
}

var foundDead = regexp.MustCompile(`"member": "([^"]+)", "to": "dead"`)

// falselyDead lists which member found which other one dead although its process ran. One that got no processor time for so
// long that it reports the pause itself was rightly found.
func falselyDead(r *processcluster.Cluster) (all []string) {
	stalled := map[string]bool{}
	for _, m := range r.Members {
		stalled[m.Name] = stalled[m.Name] || strings.Contains(m.LogText(), "process was paused")
	}
	for _, m := range r.Members {
		for _, found := range foundDead.FindAllStringSubmatch(m.LogText(), -1) {
			if !stalled[found[1]] {
				all = append(all, fmt.Sprintf("%s gave up %s", m.Name, found[1]))
			}
		}
	}
	return all
}

// allReport returns a condition: all running members hold one of them in a state.
func allReport(r *processcluster.Cluster, name, state string) func() bool {
	return func() bool {
		for _, m := range r.RunningMembers() {
			if m.Name != name && m.StateOf(name) != state {
				return false
			}
		}
		return true
	}
}

// TestFleetJoinKillLeave: a cluster that starts together, loses a member that is killed, readmits it, and is informed by
// one that leaves.
func TestFleetJoinKillLeave(t *testing.T) {
	r := fleetOf(t, processcluster.Options{})
	n := len(r.Members)
	r.WaitConverged(n)
	if out, err := checkFleet(r.Members[0]); err != nil || strings.Count(out, "agrees") != n {
		t.Errorf("fleet check: %v\n%s", err, out)
	}
	killed := r.Members[1]
	killed.Kill()
	t.Logf("found dead by all after %v", r.Eventually("found dead", allReport(r, killed.Name, "dead")))
	r.WaitConverged(n - 1)
	killed.Start()
	killed.WaitServing()
	r.WaitConverged(n)
	killed.Kill() // again within a probe interval
	killed.Start()
	killed.WaitServing()
	r.WaitConverged(n)
	leaver := r.Members[2]
	leaver.Terminate()
	t.Logf("held to have left by all after %v", r.Eventually("left", allReport(r, leaver.Name, "left")))
	for _, m := range r.RunningMembers() {
		if text := m.LogText(); strings.Contains(text, fmt.Sprintf(`"member": %q, "to": "dead"`, leaver.Name)) {
			t.Errorf("%s held %s for dead, which had said that it leaves", m.Name, leaver.Name)
		}
	}
	r.WaitConverged(n - 1)
	r.Check()
}

// checkFleet runs the operators' command.
func checkFleet(m *processcluster.Member) (string, error) {
	out, err := exec.Command(program, "fleet", "check", "--console", m.AdminAddress, "--patience", "10s").CombinedOutput()
	return string(out), err
}

// TestFleetStopAndContinue: a paused process is detected; resumed, it returns as itself, and has declared nobody dead.
func TestFleetStopAndContinue(t *testing.T) {
	r := fleetOf(t, processcluster.Options{})
	n := len(r.Members)
	r.WaitConverged(n)
	m := r.Members[3]
	generation := generationOf(m, m.Name)
	m.Pause()
	others := []*processcluster.Member{r.Members[0], r.Members[1], r.Members[2]}
	r.Eventually("found dead", func() bool {
		for _, o := range others {
			if o.StateOf(m.Name) != "dead" {
				return false
			}
		}
		return true
	})
	// its socket's buffer is full of irrelevant datagrams when it resumes
	flood, err := net.Dial("udp", m.BindAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer flood.Close()
	for range 20000 {
		_, _ = flood.Write(make([]byte, 700))
	}
	m.Continue()
	r.WaitConverged(n)
	if got := generationOf(m, m.Name); got != generation || generation == 0 {
		t.Errorf("it came back as another: generation %d, not %d", got, generation)
	}
	if !strings.Contains(m.LogText(), "process was paused") {
		t.Error("the paused process did not report the pause")
	}
	for _, wrong := range falselyDead(r) { // the paused member itself was rightly found
		t.Errorf("%s for its own pause", wrong)
	}
	r.Check()
}

// generationOf returns the generation in which m knows the member of a name; 0 if it knows none.
func generationOf(m *processcluster.Member, name string) uint64 {
	if s := m.Status(); s != nil {
		for _, o := range s.Members {
			if o.Name == name {
				return o.Generation
			}
		}
	}
	return 0
}

// TestFleetOneWayCutAndIsland: one direction between two members is cut, and neither is lost. A partitioned island finds
// the others dead, and all are one cluster again when it heals.
func TestFleetOneWayCutAndIsland(t *testing.T) {
	r := fleetOf(t, processcluster.Options{})
	n := len(r.Members)
	r.WaitConverged(n)
	a, b := r.Members[0], r.Members[1]
	r.SetLink(a, b, receivers.Link{Blackhole: true})
	r.SetLink(b, a, receivers.Link{Delay: 20 * time.Millisecond})
	time.Sleep(10 * time.Second) // 50 probe intervals: enough for a wrong verdict
	for _, wrong := range falselyDead(r) {
		t.Errorf("%s, whom others heard", wrong)
	}
	r.ClearLinks()
	r.WaitConverged(n)
	island := []*processcluster.Member{a, b}
	r.Partition(island...)
	r.Eventually("two fleets", func() bool {
		return r.Converged(island, 2) && r.Converged(r.Members[2:], n-2)
	})
	if out, err := checkFleet(a); err != nil { // dead members are not asked
		t.Errorf("fleet check on an island that agrees: %v\n%s", err, out)
	}
	for _, m := range island {
		if s := m.Status(); s == nil || s.Share.Reason != "cut off" || s.Share.Fraction >= 1 {
			t.Errorf("%s, of fewer than half, shares cold workers as if it were the fleet: %+v", m.Name, s)
		}
	}
	r.ClearLinks()
	r.WaitConverged(n)
	r.Eventually("all count one another", func() bool {
		for _, m := range r.Members {
			if s := m.Status(); s == nil || s.Share.Instances != n || s.Share.Fraction != 1 {
				return false
			}
		}
		return true
	})
	r.Check()
}

// TestFleetLossAndDelay: a fifth of the datagrams are lost, the rest delayed, duplicated and reordered. No member that
// answers is given up for good, and the views converge afterwards.
func TestFleetLossAndDelay(t *testing.T) {
	r := fleetOf(t, processcluster.Options{})
	n := len(r.Members)
	r.WaitConverged(n)
	r.SetAllLinks(receivers.Link{
		LossRate:      0.2,
		Delay:         5 * time.Millisecond,
		Jitter:        20 * time.Millisecond,
		DuplicateRate: 0.05,
		ReorderRate:   0.05,
	})
	time.Sleep(15 * time.Second)
	refuted := 0
	for _, m := range r.Members {
		refuted += strings.Count(m.LogText(), `"to": "alive"`)
	}
	t.Logf("under loss: %d records of members found alive again at %d members in 75 periods", refuted, n)
	for _, wrong := range falselyDead(r) {
		t.Errorf("%s, which answers", wrong)
	}
	r.ClearLinks()
	r.WaitConverged(n)
	repeated := uint64(0)
	for _, m := range r.Members {
		repeated += m.Status().Drops["repeated"]
	}
	if repeated == 0 {
		t.Error("no datagram was dropped as heard before")
	}
	r.Check()
}

// TestFleetRollingRestart restarts all members in turn, as a release does.
func TestFleetRollingRestart(t *testing.T) {
	r := fleetOf(t, processcluster.Options{})
	n := len(r.Members)
	r.WaitConverged(n)
	for i, m := range r.Members {
		m.Terminate()
		m.Start()
		m.WaitServing()
		u := r.Runners[i%len(r.Runners)] // a runner drains meanwhile: the harness checks whether anybody sends to it
		u.SetState("draining")
		r.Discovery.Publish()
		r.Eventually("it drains", u.Idle)
		u.SetState("ready")
		r.Discovery.Publish()
	}
	r.WaitConverged(n)
	r.Check()
}

// TestFleetEvacuation: an evacuated member leaves when nothing of it is in flight any more, and returns when the
// evacuation ends.
func TestFleetEvacuation(t *testing.T) {
	r := fleetOf(t, processcluster.Options{Members: 3})
	r.WaitConverged(3)
	m := r.Members[2]
	m.StopClients()
	if code, text := m.CallAdmin("PUT", "/api/evacuate", ""); code != 200 {
		t.Fatal(code, text)
	}
	r.Eventually("it has left", allReport(r, m.Name, "left"))
	if code, text := m.CallAdmin("PUT", "/api/rejoin", ""); code != 200 {
		t.Fatal(code, text)
	}
	r.WaitConverged(3)
	m.WaitServing()
	r.Check()
}

// TestFleetUpgrade: two processes under one name and one address. The newer one is the member from then on.
func TestFleetUpgrade(t *testing.T) {
	r := fleetOf(t, processcluster.Options{Members: 3, InheritSocket: true})
	r.WaitConverged(3)
	m := r.Members[1]
	generation := generationOf(m, m.Name)
	m.Upgrade()
	r.WaitConverged(3)
	for _, o := range r.Members {
		if got := generationOf(o, m.Name); got <= generation {
			t.Errorf("%s holds generation %d of %s, which was %d before the upgrade", o.Name, got, m.Name, generation)
		}
	}
	for _, wrong := range falselyDead(r) {
		t.Errorf("%s, over an upgrade", wrong)
	}
	r.Check()
}

// TestFleetTwoUnderOneName: two processes share a name by mistake. The one that began later stays a member, the other
// logs it and serves on alone.
func TestFleetTwoUnderOneName(t *testing.T) {
	r := fleetOf(t, processcluster.Options{Members: 3})
	r.WaitConverged(3)
	first := r.Members[2]
	twin := r.AddMember()
	twin.Name = first.Name
	r.Discovery.Publish()
	twin.Start()
	twin.WaitServing()
	r.Eventually("the earlier start says that it withdraws", func() bool {
		return strings.Contains(first.LogText(), "another process has this name")
	})
	r.Eventually("the later one is the member", func() bool {
		if !r.Converged([]*processcluster.Member{r.Members[0], r.Members[1], twin}, 3) {
			return false
		}
		return generationOf(r.Members[0], twin.Name) == generationOf(twin, twin.Name)
	})
	r.Check()
}

// TestFleetColdRunner: members with different views share a warming-up runner while some join, some are cut off and one
// is paused. It is not overloaded; and once three in eight have left, the rest send it more than by the number in their
// settings.
func TestFleetColdRunner(t *testing.T) {
	t.Parallel()
	for _, off := range []bool{true, false} {
		t.Run(fmt.Sprint("off=", off), func(t *testing.T) {
			r := fleetOf(t, processcluster.Options{
				Members:       8,
				Runners:       1,
				JobsPerSecond: 60,
				JobSeconds:    0.02,
				RunnerSlots:   2,
				Standalone:    off,
			})
			cold := r.Runners[0]
			time.Sleep(2 * time.Second) // while it is warm the members learn the cost of a job
			span := func(what string) {
				cold.SetState("gone")
				r.Discovery.Publish()
				r.Eventually("it has nothing to do any more", cold.Idle)
				cold.Restart()
				r.Discovery.Publish()
				time.Sleep(9 * time.Second)
				worst, work, fell := cold.LoadSinceStart()
				t.Logf("%s: at most %.2f of what it bears, %.2f s of work in 9 s", what, worst, work)
				if fell {
					t.Errorf("%s: a cold runner fell over", what)
				}
			}
			span("all start")
			if !off {
				r.WaitConverged(8)
				r.Partition(r.Members[:3]...)
				span("three are cut off")
				r.Members[4].Pause()
				span("and one is stopped")
				r.Members[4].Continue()
				r.ClearLinks()
				span("and all are back")
				r.WaitConverged(8)
			}
			for _, m := range r.Members[5:] {
				m.Terminate()
			}
			if !off {
				r.WaitConverged(5)
			}
			span("three have left")
		})
	}
}

// TestFleetReload: a reload switches the cluster off, on, to another address, to other seeds, and to another name. An
// invalid one changes nothing.
func TestFleetReload(t *testing.T) {
	r := fleetOf(t, processcluster.Options{Members: 3})
	r.WaitConverged(3)
	m := r.Members[2]
	with := m.OperatorConfig()
	m.WriteConfig("")
	m.Reload("membership: disabled")
	r.Eventually("the others know that it has left", func() bool {
		return r.Members[0].StateOf(m.Name) == "left" && r.Members[1].StateOf(m.Name) == "left"
	})
	if code, _ := m.CallAdmin("GET", "/api/fleet", ""); code != 404 {
		t.Errorf("/api/fleet answers %d though the section is off", code)
	}
	m.WriteConfig(with)
	m.Reload("server: configuration reloaded")
	r.WaitConverged(3)
	m.WriteConfig(strings.Replace(with, "period_s", "priod_s", 1))
	m.Reload("reload rejected")
	if !strings.Contains(m.LogText(), "fleet.priod_s: unknown key") {
		t.Error("the bad key is not named")
	}
	m.WriteConfig(strings.Replace(with, m.BindAddress, "203.0.113.9:7946", 1))
	m.Reload("cannot assign requested address")
	r.WaitConverged(3)
	moved := m.ChangeBindAddress()
	m.WriteConfig(moved)
	m.Reload("server: configuration reloaded")
	r.WaitConverged(3)
	if !strings.Contains(moved, m.BindAddress) || m.Status().Members[2].Address != m.Relay.Addr() {
		t.Errorf("it did not move: %+v", m.Status().Members[2])
	}
	m.ClusterName = "other"
	m.WriteConfig(m.OperatorConfig())
	m.Reload("server: configuration reloaded")
	r.Eventually("a fleet of its own", func() bool {
		status := m.Status()
		return status != nil && status.Cluster == "other" && len(status.Members) == 1
	})
	m.ClusterName = r.ClusterName
	m.WriteConfig(strings.Replace(m.OperatorConfig(), m.BindAddress, m.BindAddress+`0"#`, 1)) // an invalid port
	m.Reload("reload rejected")
	m.WriteConfig(m.OperatorConfig())
	m.Reload("server: configuration reloaded")
	r.WaitConverged(3)
	r.Check()
}

// TestFleetNonsense: datagrams that are malformed, of another cluster, of a newer format, too long, or replayed are
// dropped and counted, and change nothing.
func TestFleetNonsense(t *testing.T) {
	r := fleetOf(t, processcluster.Options{Members: 3})
	r.WaitConverged(3)
	m := r.Members[0]
	conn, err := net.Dial("udp", m.BindAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	rng := rand.New(rand.NewPCG(1, 2))
	foreign := datagram(t, "elsewhere", "x")
	newer := datagram(t, r.ClusterName, "x")
	newer[8]++
	binary.LittleEndian.PutUint64(newer, xxhash.Sum64(newer[8:]))
	for range 200 {
		junk := make([]byte, rng.IntN(2000))
		for i := range junk {
			junk[i] = byte(rng.Uint32())
		}
		for _, b := range [][]byte{junk, foreign, newer, make([]byte, 1500)} {
			if _, err := conn.Write(b); err != nil {
				t.Log(err)
			}
		}
		time.Sleep(time.Millisecond)
	}
	r.Eventually("drops are counted", func() bool {
		s := m.Status()
		return s != nil && s.Drops["foreign"] > 0 && s.Drops["format"] > 0 && s.Drops["broken"] > 0 && s.Drops["oversized"] > 0
	})
	r.WaitConverged(3)
	if text := m.LogText(); strings.Count(text, "datagrams dropped so far") > 2 {
		t.Error("what is dropped is told more than once a minute")
	}
	r.Check()
}

// addrOf parses an address that is known to be valid.
func addrOf(text string) netip.AddrPort { return netip.MustParseAddrPort(text) }

// datagram returns an update from a member of some cluster, as it is sent.
func datagram(t *testing.T, fleet, name string) []byte {
	t.Helper()
	b, err := membership.Encode(&membership.Message{
		Kind:    membership.Update,
		Cluster: fleet,
		Number:  1,
		From: membership.Record{
			Name:       name,
			Generation: 1,
			Addr:       addrOf("127.0.0.1:9"),
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// liar is a member that sends false records of the others.
type liar struct {
	addr       netip.AddrPort
	generation uint64
}

// recordsOf returns false records of members, which differ from round to round: they have failed or left, or have begun
// later and have the liar's address.
func (l liar) recordsOf(members []*processcluster.Member, round int) (records []membership.Record) {
	for _, m := range members {
		victim := membership.Record{
			Name:        m.Name,
			Addr:        addrOf(m.Relay.Addr()),
			Generation:  generationOf(m, m.Name),
			Incarnation: uint64(round),
			State:       membership.State(1 + round%3),
			SuspectedBy: "liar",
		}
		if round%5 == 4 {
			victim.Generation = l.generation * 2
			victim.Addr = l.addr
			victim.State = membership.Alive
		}
		records = append(records, victim)
	}
	return records
}

// TestFleetLies: a member lies that others have left, died, have another address, or have begun later. No process ends,
// jobs are served, and the view is the true one once it has departed.
func TestFleetLies(t *testing.T) {
	r := fleetOf(t, processcluster.Options{})
	n := len(r.Members)
	r.WaitConverged(n)
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	sender := liar{
		addr:       addrOf(conn.LocalAddr().String()),
		generation: uint64(time.Now().UnixMicro()),
	}
	for round := range 150 {
		b, err := membership.Encode(&membership.Message{
			Kind:    membership.Update,
			Cluster: r.ClusterName,
			Number:  uint64(round + 1),
			Records: sender.recordsOf(r.Members, round),
			From:    membership.Record{Name: "liar", Generation: sender.generation, Addr: sender.addr},
		})
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range r.Members {
			_, _ = conn.WriteTo(b, net.UDPAddrFromAddrPort(addrOf(m.BindAddress)))
		}
		time.Sleep(20 * time.Millisecond)
	}
	conn.Close()
	for _, m := range r.Members {
		if !m.Running() {
			t.Errorf("%s has ended", m.Name)
		}
	}
	r.Eventually("the liar is found dead", allReport(r, "liar", "dead"))
	r.WaitConverged(n)
	r.Check()
}
