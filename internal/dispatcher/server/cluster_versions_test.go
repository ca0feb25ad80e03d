package server

import (
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"cinderroad/internal/testkit/processcluster"
	"cinderroad/internal/testkit/receivers"
)

// withholds reports whether a member restricts a worker because of what peers know.
func withholds(m *processcluster.Member, worker string) bool {
	status := m.Status()
	if status == nil {
		return false
	}
	for _, restriction := range status.Restrictions {
		if restriction.Worker == worker {
			return true
		}
	}
	return false
}

// TestFleetDrainReachesOneThatLostDiscovery: one of five members has lost discovery when a worker drains. Its peers
// inform it, it sends nothing there from then on, and when its own discovery is back the two agree.
func TestFleetDrainReachesOneThatLostDiscovery(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]receivers.Link{"silent": {Blackhole: true}, "reset": {Resets: true}} {
		t.Run(name, func(t *testing.T) {
			r := fleetOf(t, processcluster.Options{JobsPerSecond: 60})
			n := len(r.Members)
			r.WaitConverged(n)
			cut, drains := r.Members[n-1], r.Runners[2]
			r.Eventually("it gets jobs", func() bool { return drains.JobsFrom(cut) > 5 })
			cut.DiscoveryLink().SetLink(fault)
			before := drains.JobsFrom(cut)
			drainedAt := time.Now()
			drains.SetState("draining")
			r.Discovery.Publish()
			r.Eventually("it is withheld", func() bool { return withholds(cut, drains.Name) })
			delay := time.Since(drainedAt)
			within := drains.JobsFrom(cut)
			withheld := quietPeriod{sender: cut, runner: drains, from: time.Now()}
			time.Sleep(3 * time.Second) // 180 jobs at that member: enough to find one that must not be sent
			withheld.until = time.Now()
			withheld.received = drains.JobsFrom(cut) - within
			t.Logf("withheld after %v; %d jobs until then", delay, within-before)
			drains.SetState("ready")
			r.Discovery.Publish()
			r.Eventually("the lifting is told, too", func() bool {
				return !withholds(cut, drains.Name) && drains.JobsFrom(cut) > within+3
			})
			drains.SetState("draining")
			r.Discovery.Publish()
			r.Eventually("it is withheld again", func() bool { return withholds(cut, drains.Name) })
			cut.DiscoveryLink().SetLink(receivers.Link{})
			r.Eventually("its own discovery has told it", func() bool {
				s := cut.Status()
				return s != nil && len(s.Restrictions) == 0 && strings.Contains(cut.LogText(), "all restrictions lifted")
			})
			after := drains.JobsFrom(cut)
			confirmed := quietPeriod{sender: cut, runner: drains, from: time.Now()}
			time.Sleep(time.Second)
			confirmed.until = time.Now()
			confirmed.received = drains.JobsFrom(cut) - after
			r.Check()
			withheld.check(t, r, "while peers know it to drain")
			confirmed.check(t, r, "when the own discovery was back")
		})
	}
}

// TestFleetSleepsOverADrain: a process that is paused while a worker drains, and is cut off from discovery when it
// resumes, sends nothing by its outdated list, however long it was paused and however late a peer sends what it knows.
// Jobs wait or are rejected.
func TestFleetSleepsOverADrain(t *testing.T) {
	t.Parallel()
	for _, span := range []time.Duration{3 * time.Second, 8 * time.Second, 20 * time.Second} {
		t.Run(span.String(), func(t *testing.T) {
			r := fleetOf(t, processcluster.Options{JobsPerSecond: 60})
			n := len(r.Members)
			r.WaitConverged(n)
			paused, drains := r.Members[0], r.Runners[2] // of its zone
			at := drains.JobsFrom(paused)
			r.Eventually("it gets jobs", func() bool { return drains.JobsFrom(paused) > at+5 })
			paused.Pause()
			quiet := quietPeriod{sender: paused, runner: drains, from: time.Now().Add(span / 2)} // within the pause
			paused.DiscoveryLink().SetLink(receivers.Link{Blackhole: true})
			r.Partition(paused) // nothing is buffered for it when it resumes
			drains.SetState("draining")
			r.Discovery.Publish()
			r.Eventually("the others have nothing there any more", drains.Idle)
			time.Sleep(span)
			before := drains.JobsFrom(paused)
			resumed := strings.Count(paused.LogText(), lookedAgain)
			paused.Continue()
			time.Sleep(2 * time.Second) // no contact, for longer than jobs wait
			if strings.Count(paused.LogText(), lookedAgain) == resumed && health(paused) != 503 {
				t.Error("it knows nothing new, and its health is well")
			}
			r.ClearLinks()
			paused.Relay.SetLink("", receivers.Link{Delay: 100 * time.Millisecond})
			r.Eventually("it has looked again", func() bool { return strings.Count(paused.LogText(), lookedAgain) > resumed })
			r.Eventually("it is withheld", func() bool { return withholds(paused, drains.Name) })
			r.Eventually("it serves again", func() bool { return health(paused) == 200 })
			time.Sleep(time.Second)
			quiet.until = time.Now()
			quiet.received = drains.JobsFrom(paused) - before
			r.ClearLinks()
			paused.DiscoveryLink().SetLink(receivers.Link{})
			drains.SetState("ready")
			r.Discovery.Publish()
			r.WaitConverged(n)
			r.Check()
			quiet.check(t, r, "after the pause")
		})
	}
}

// quietPeriod is a time in which a member must not decide on any attempt at a runner.
type quietPeriod struct {
	sender      *processcluster.Member
	runner      *processcluster.Runner
	from, until time.Time
	received    int // jobs that the runner received from the member meanwhile
}

// check checks the member's request log. What the runner received can only be attempts that were decided before the period,
// and were still on their way to it.
func (p *quietPeriod) check(t *testing.T, r *processcluster.Cluster, when string) {
	t.Helper()
	unanswered := 0
	for _, path := range r.AuditFiles() {
		if filepath.Base(path) != p.sender.Name+".requests" {
			continue
		}
		for _, attempt := range readAttempts(t, path) {
			switch {
			case attempt.node != p.runner.Name || attempt.sent.After(p.until):
			case attempt.sent.After(p.from):
				t.Errorf("%s: an attempt was made, %v after the period began", when, attempt.sent.Sub(p.from))
			case attempt.answered.After(p.from):
				unanswered++
			}
		}
	}
	if p.received > unanswered {
		t.Errorf("%s: %d jobs arrived; %d attempts were under way before", when, p.received, unanswered)
	}
}

// lookedAgain is logged when a process sends again after a pause.
const lookedAgain = "resumed after process pause"

// health returns the status of a member's health check; 0 if there is no answer.
func health(m *processcluster.Member) int {
	a, err := http.Get("http://" + m.ListenAddress + "/_health")
	if err != nil {
		return 0
	}
	a.Body.Close()
	return a.StatusCode
}
