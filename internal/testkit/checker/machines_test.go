package checker

import (
	"testing"
	"time"
)

const edge = "127.0.0.1:80"

// newTestbedWithMachines returns a checker that knows what was done to the machines.
func newTestbedWithMachines() (*testbed, *Machines) {
	bed := newTestbed()
	bed.limits.GracePeriod = 12 * time.Second
	bed.limits.ConfigurationDelay = 2 * time.Second
	bed.limits.InTouch = 4 * time.Second
	bed.limits.Machines = NewMachines()
	return bed, bed.limits.Machines
}

func TestCutRequests(t *testing.T) {
	second := func(s float64) time.Time { return time.Unix(1000, 0).Add(time.Duration(s * float64(time.Second))) }
	sent := second(10)
	for _, test := range []struct {
		name    string
		prepare func(*Checker, *Machines)
		cut     time.Time
		want    int
	}{
		{"stopped", func(_ *Checker, m *Machines) { m.Stopped(edge, second(9)) }, second(18.9), 1},
		{"stopped, in the last sixth of the grace period", func(_ *Checker, m *Machines) { m.Stopped(edge, second(9)) }, second(19), 0},
		{"stopped long before", func(_ *Checker, m *Machines) { m.Stopped(edge, second(6.9)) }, second(18), 1},
		{"stopped and killed", func(_ *Checker, m *Machines) {
			m.Stopped(edge, second(9))
			m.UnplannedTrouble(edge, second(12), second(13))
		}, second(12), 0},
		{"killed shortly before", func(_ *Checker, m *Machines) {
			m.Stopped(edge, second(9))
			m.UnplannedTrouble(edge, second(6), second(7))
		}, second(12), 0},
		{"killed long before", func(_ *Checker, m *Machines) {
			m.Stopped(edge, second(9))
			m.UnplannedTrouble(edge, second(5), second(5.5))
		}, second(12), 1},
		{"squeezed, and sent a little too late", func(_ *Checker, m *Machines) {
			m.Stopped(edge, second(6.5))
			m.Squeezed(edge, second(6), second(7))
		}, second(17), 0},
		{"squeezed, and cut off too early", func(_ *Checker, m *Machines) {
			m.Stopped(edge, second(6.5))
			m.Squeezed(edge, second(6), second(7))
		}, second(16), 1},
		{"slowed", func(_ *Checker, m *Machines) {
			m.Stopped(edge, second(9))
			m.Slowed(edge, second(8), second(20))
		}, second(12), 1},
		{"stopped, at the deadline", func(_ *Checker, m *Machines) { m.Stopped(edge, second(9)) }, second(25), 0},
		{"stopped, and the runner ended", func(c *Checker, m *Machines) {
			m.Stopped(edge, second(9))
			c.RunnerEnded(api.ID)
		}, second(12), 0},
		{"stopped, and the runner broke off", func(c *Checker, m *Machines) {
			m.Stopped(edge, second(9))
			c.AnswerBrokenOff("a")
		}, second(12), 0},
		{"reloaded before", func(_ *Checker, m *Machines) { m.Reloaded(edge, second(9)) }, second(12), 1},
		{"reloaded after", func(_ *Checker, m *Machines) { m.Reloaded(edge, second(11)) }, second(12), 1},
		{"reloaded long before", func(_ *Checker, m *Machines) { m.Reloaded(edge, second(7)) }, second(12), 0},
		{"another machine stopped", func(_ *Checker, m *Machines) { m.Stopped("127.0.0.2:80", second(9)) }, second(12), 0},
	} {
		bed, machines := newTestbedWithMachines()
		bed.sendRequest("a", lookups)
		bed.receiveRequest("a", api)
		test.prepare(bed.Checker, machines)
		bed.RequestCut(Cut{ID: "a", Address: edge, Sent: sent, At: test.cut, Deadline: second(25)})
		found := bed.Finish()
		if len(found) != test.want || len(found) > 0 && found[0].Rule != LostRequest {
			t.Errorf("%s: %v", test.name, found)
		}
	}
}

// TestCutsInCalmTimes: a machine that nothing was done to may cut off a few requests on kept connections; one that no runner
// got is none of them.
func TestCutsInCalmTimes(t *testing.T) {
	for cuts, want := range map[int]int{strayCuts: 0, strayCuts + 2: 1} {
		bed, _ := newTestbedWithMachines()
		for i := range cuts {
			id := string(rune('a' + i))
			bed.sendRequest(id, lookups)
			bed.receiveRequest(id, api)
			bed.RequestCut(Cut{ID: id, Address: edge, Sent: bed.now, At: bed.now, Deadline: bed.now.Add(time.Minute), Kept: true})
		}
		bed.sendRequest("unread", lookups)
		bed.RequestCut(Cut{ID: "unread", Address: edge, Sent: bed.now, At: bed.now, Deadline: bed.now.Add(time.Minute), Kept: true})
		if found := bed.Finish(); len(found) != want {
			t.Errorf("%d cuts: %v", cuts, found)
		}
	}
}

// TestBoundsInTimeHoldInTouch: a request to a draining runner counts only if its machine and the core were left alone.
func TestBoundsInTimeHoldInTouch(t *testing.T) {
	for _, test := range []struct {
		name    string
		trouble func(*Machines, time.Time)
		want    int
	}{
		{"calm", func(*Machines, time.Time) {}, 1},
		{"stopped before", func(m *Machines, now time.Time) {
			m.PlannedTrouble(edge, now.Add(-9*time.Second), now.Add(-4*time.Second))
		}, 0},
		{"stopped long before", func(m *Machines, now time.Time) {
			m.PlannedTrouble(edge, now.Add(-19*time.Second), now.Add(-6*time.Second))
		}, 1},
		{"the core was killed", func(m *Machines, now time.Time) { m.UnplannedTrouble(Core, now, now) }, 0},
		{"another machine was killed", func(m *Machines, now time.Time) { m.UnplannedTrouble("127.0.0.2:80", now, now) }, 1},
		{"found to be slowed afterwards", func(m *Machines, now time.Time) {
			m.Slowed(edge, now.Add(time.Second), now.Add(2*time.Second))
		}, 0},
	} {
		bed, machines := newTestbedWithMachines()
		bed.RunnerDraining(api.ID, bed.now)
		bed.now = bed.now.Add(time.Minute)
		bed.RequestSent(Attempt{ID: "a", Method: "POST", Host: "h", URI: "/a", Body: Hash([]byte("x")), Route: lookups, Address: edge})
		bed.receiveRequest("a", api)
		test.trouble(machines, bed.now)
		if found := bed.Finish(); len(found) != test.want {
			t.Errorf("%s: %v", test.name, found)
		}
	}
}
