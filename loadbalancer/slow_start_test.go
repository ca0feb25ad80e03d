package loadbalancer

import (
	"testing"
)

// warmAt is the warmth at a time of a worker that started at 1000.
func warmAt(s Settings, at float64) float64 {
	return s.SlowStartInitialShare + (1-s.SlowStartInitialShare)*(at-1000)/s.SlowStartDuration
}

// worstSpan is the most work sent within an overload window, as a share of what the capacity at its start allows.
func worstSpan(s Settings, sends []recordedSend, work func(RequestID) float64, capacity func(from float64) float64) float64 {
	worst := 0.0
	for _, from := range sends {
		sum := 0.0
		for _, x := range sends {
			if x.sentAt >= from.sentAt && x.sentAt < from.sentAt+s.OverloadWindow {
				sum += work(x.id)
			}
		}
		worst = max(worst, sum/(s.OverloadMultiple*capacity(from.sentAt)*s.OverloadWindow))
	}
	return worst
}

// An instance keeps to its share of the slow start budget, whatever the others know.
func TestSlowStartBudgetIsNotExceeded(t *testing.T) {
	s := testSettings()
	r := newRecorder(t, s, 1)
	r.list(ListFull, Worker{ID: 1, State: Ready, StartedAt: r.now})
	for id := RequestID(1); id <= 400; id++ {
		r.request(id, 0, 0.1)
		r.runTo(r.now + 0.02)
	}
	worst := worstSpan(s, r.sends, func(RequestID) float64 { return 0.1 }, func(from float64) float64 {
		return warmAt(s, from+s.OverloadWindow) / float64(s.Instances)
	})
	if len(r.sends) == 0 {
		t.Fatal("a worker in slow start must get what it can bear")
	}
	if worst > 1 {
		t.Errorf("sent %.2f of its part of the budget", worst)
	}
}

// Guards against turns that only the first few of many instances ever get, so that the worker stays unused until it is
// warm. All together must use it and stay within the budget, with restarts and with a job larger than an equal share.
func TestSlowStartBudgetHoldsOverAllInstances(t *testing.T) {
	settings := testSettings()
	settings.Instances = 100
	startInstance := func(seed uint64, at float64) *recorder {
		r := newRecorder(t, settings, seed)
		r.now = at
		r.list(ListFull, ready(1)...)
		r.request(1, 0, 0.1)
		r.start(1, 0)
		r.outcome(1, 0, OK, 0, 0, 4)
		r.list(ListFull, Worker{ID: 9, State: Ready, StartedAt: 1000})
		return r
	}
	var instances []*recorder
	for settings.Instance = 0; settings.Instance < settings.Instances; settings.Instance++ {
		instances = append(instances, startInstance(uint64(settings.Instance), 1000))
	}
	var all []recordedSend
	work := func(id RequestID) float64 { return []float64{0.1, 0.1, 0.1, 0.4}[id%4] }
	senders := map[int]bool{}
	for step := RequestID(2); step < 100; step++ {
		for instance, r := range instances {
			if step == 30 && instance%2 == 0 { // half of them are back with nothing but the list
				settings.Instance = instance
				r = startInstance(uint64(1000+instance), r.now)
				instances[instance] = r
			}
			n := len(r.sends)
			r.runTo(1000 + 0.2*float64(step) + 0.001*float64(instance))
			r.request(step, 3, work(step))
			for _, x := range r.sends[n:] {
				if x.worker == 9 {
					all = append(all, x)
					senders[instance] = true
				}
			}
		}
	}
	worst := worstSpan(settings, all, work, func(from float64) float64 { return 4 * warmAt(settings, from) })
	if worst > 1 {
		t.Errorf("all together sent %.2f of what a worker in slow start bears", worst)
	}
	if worst < 0.3 || len(senders) < settings.Instances/3 {
		t.Errorf("a worker in slow start got %.2f of what it bears, from %d instances", worst, len(senders))
	}
	t.Logf("%.2f of the budget, from %d instances", worst, len(senders))
}

func TestRestartUnderTheSameIDStartsSlowly(t *testing.T) {
	r := newRecorder(t, testSettings(), 1)
	r.list(ListFull, ready(1)...)
	r.runTo(r.now + 1)
	r.list(ListDelta, Worker{ID: 1, State: Ready, StartedAt: r.now})
	for id := RequestID(1); id <= 50; id++ {
		r.request(id, 0, 0.1)
	}
	if len(r.sends) > 4 {
		t.Errorf("%d sends at once to a worker that has just restarted", len(r.sends))
	}
}

// A restarted balancer with a cached list and no learnt limits serves at once and survives what is wrong in the list.
func TestRestartWithCachedList(t *testing.T) {
	r := newRecorder(t, testSettings(), 1)
	r.list(ListCached, ready(3)...)
	r.request(1, 0, 0.05)
	if len(r.sends) != 1 {
		t.Fatal("a request was not sent on the cached list")
	}
	r.outcome(1, 0, ConnectFailed)
	r.outcome(1, 1, ConnectFailed)
	r.list(ListFull, Worker{ID: 9, State: Ready})
	r.outcome(1, 2, ConnectFailed)
	r.runTo(r.now + 0.2)
	if last := r.sends[len(r.sends)-1]; last.worker != 9 {
		t.Errorf("last send to %d, want the worker of the new list", last.worker)
	}
}
