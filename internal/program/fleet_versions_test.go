package program

import (
	"strings"
	"testing"
	"time"

	"cinderroad/internal/standin"
	"cinderroad/internal/standin/rig"
)

// withholds says whether a member holds a worker back on peers' words.
func withholds(m *rig.Member, worker string) bool {
	s := m.Status()
	if s == nil {
		return false
	}
	for _, h := range s.Held {
		if h.Worker == worker {
			return true
		}
	}
	return false
}

// One of five has lost discovery when a worker drains. Its peers tell it; nothing is sent there from then on; and when its
// own director is back the two agree.
func TestFleetDrainReachesOneThatLostDiscovery(t *testing.T) {
	for name, fault := range map[string]standin.Link{"silent": {Silent: true}, "reset": {Resets: true}} {
		t.Run(name, func(t *testing.T) {
			r := fleetOf(t, rig.Options{Jobs: 60})
			n := len(r.Members)
			r.Settled(n)
			cut, drains := r.Members[n-1], r.Runners[2]
			r.Eventually("it gets jobs", func() bool { return drains.Took(cut) > 5 })
			cut.ListWay().Set(fault)
			before := drains.Took(cut)
			from := time.Now()
			drains.Set("draining")
			r.Discovery.Tell()
			r.Eventually("it is withheld", func() bool { return withholds(cut, drains.Name) })
			told := time.Since(from)
			within := drains.Took(cut)
			time.Sleep(3 * time.Second)                  // 180 jobs at that member: what must never happen would have
			if got := drains.Took(cut); got > within+1 { // one may have been on its way
				t.Errorf("%d jobs were sent to a worker that peers know to drain", got-within)
			}
			t.Logf("withheld after %v; %d jobs until then", told, within-before)
			drains.Set("ready")
			r.Discovery.Tell()
			r.Eventually("the lifting is told, too", func() bool { return !withholds(cut, drains.Name) && drains.Took(cut) > within+3 })
			drains.Set("draining")
			r.Discovery.Tell()
			r.Eventually("it is withheld again", func() bool { return withholds(cut, drains.Name) })
			cut.ListWay().Set(standin.Link{})
			r.Eventually("its own director has told it", func() bool {
				s := cut.Status()
				return s != nil && len(s.Held) == 0 && strings.Contains(cut.Text(), "nothing is withheld any more")
			})
			after := drains.Took(cut)
			time.Sleep(time.Second)
			if got := drains.Took(cut); got > after+1 {
				t.Errorf("%d jobs were sent to it when the own director was back", got-after)
			}
			r.Check()
		})
	}
}

// A process that is stopped while a worker drains, and is cut off from discovery when it wakes, sends nothing by its old list.
func TestFleetSleepsOverADrain(t *testing.T) {
	r := fleetOf(t, rig.Options{Jobs: 60})
	n := len(r.Members)
	r.Settled(n)
	sleeper, drains := r.Members[0], r.Runners[2] // of its zone
	r.Eventually("it gets jobs", func() bool { return drains.Took(sleeper) > 5 })
	sleeper.Pause()
	sleeper.ListWay().Set(standin.Link{Silent: true})
	drains.Set("draining")
	r.Discovery.Tell()
	r.Eventually("the others have nothing there any more", drains.Idle)
	time.Sleep(3 * time.Second)
	before := drains.Took(sleeper)
	sleeper.Continue()
	r.Eventually("it has looked again", func() bool { return strings.Contains(sleeper.Text(), "looked again after a sleep") })
	r.Eventually("it is withheld", func() bool { return withholds(sleeper, drains.Name) })
	time.Sleep(time.Second)
	if got := drains.Took(sleeper); got > before {
		t.Errorf("%d jobs were sent by the old list after waking", got-before)
	}
	sleeper.ListWay().Set(standin.Link{})
	r.Settled(n)
	r.Check()
}
