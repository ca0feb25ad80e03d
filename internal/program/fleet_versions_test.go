package program

import (
	"fmt"
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

// A process that is stopped while a worker drains, and is cut off from discovery when it wakes, sends nothing by its old list:
// jobs wait until a peer has told what it knows, which here comes late. A machine so slow that the second for which it waits
// has passed before that proves nothing; then it is stopped anew.
func TestFleetSleepsOverADrain(t *testing.T) {
	r := fleetOf(t, rig.Options{Jobs: 60})
	n := len(r.Members)
	r.Settled(n)
	sleeper, drains := r.Members[0], r.Runners[2] // of its zone
	for try := 1; ; try++ {
		at := drains.Took(sleeper)
		r.Eventually("it gets jobs", func() bool { return drains.Took(sleeper) > at+5 })
		sleeper.Pause()
		sleeper.ListWay().Set(standin.Link{Silent: true})
		r.Island(sleeper) // nothing of it waits in a buffer when it wakes
		drains.Set("draining")
		r.Discovery.Tell()
		r.Eventually("the others have nothing there any more", drains.Idle)
		time.Sleep(3 * time.Second)
		r.Heal()
		sleeper.Relay.Set("", standin.Link{Delay: 100 * time.Millisecond})
		before, woke := drains.Took(sleeper), strings.Count(sleeper.Text(), lookedAgain)
		sleeper.Continue()
		r.Eventually("it has looked again", func() bool { return strings.Count(sleeper.Text(), lookedAgain) > woke })
		r.Eventually("it is withheld", func() bool { return withholds(sleeper, drains.Name) })
		time.Sleep(time.Second)
		sent, waited := drains.Took(sleeper)-before, lookedAfter(t, sleeper)
		r.Heal()
		sleeper.ListWay().Set(standin.Link{})
		r.Settled(n)
		if waited < wakeMost {
			t.Logf("looked again after %.3f s; %d jobs by the old list", waited, sent)
			if sent > 0 {
				t.Errorf("%d jobs were sent by the old list after waking", sent)
			}
			break
		}
		if try == 5 {
			t.Fatal("in five tries nobody told it anything within a second")
		}
		drains.Set("ready")
		r.Discovery.Tell()
	}
	r.Check()
}

const lookedAgain = "looked again after a sleep"

// lookedAfter is how long a member last waited after a sleep, in seconds.
func lookedAfter(t *testing.T, m *rig.Member) (after float64) {
	text := m.Text()
	_, line, _ := strings.Cut(text[strings.LastIndex(text, lookedAgain):], `"after_s": `)
	if _, err := fmt.Sscanf(line, "%g", &after); err != nil {
		t.Fatal(err)
	}
	return after
}
