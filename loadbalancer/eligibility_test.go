package loadbalancer

import (
	"testing"
)

// Guards against a process that slows down and grows with every machine that was ever replaced.
func TestDepartedWorkersArePruned(t *testing.T) {
	r := newRecorder(t, testSettings(), 1)
	for i := range 200 {
		r.list(ListFull, Worker{ID: WorkerID(i), State: Ready}, Worker{ID: 1000, State: Ready})
		r.request(RequestID(i+1), 0, 0.05)
		r.outcome(RequestID(i+1), 0, OK)
		r.runTo(r.now + 5)
	}
	if n := len(r.balancer.workers); n > 20 || len(r.balancer.workersByID) != n || r.balancer.workersByID[1000] == nil {
		t.Errorf("%d workers remain, %d by id", n, len(r.balancer.workersByID))
	}
}

func TestSkillsLimitEligibleWorkers(t *testing.T) {
	r := newRecorder(t, testSettings(), 1)
	r.list(ListFull, Worker{ID: 1, State: Ready}, Worker{ID: 2, State: Ready, Skills: []uint32{7, 8}})
	for id, want := range map[RequestID]WorkerID{1: 1, 2: 2} {
		q := Request{ID: id, Slots: 1, Work: 0.05, Deadline: r.now + 5, Skill: uint32(id-1) * 8}
		r.requests[id] = &q
		r.balancer.HandleRequest(r.now, &q)
		if got := r.sends[len(r.sends)-1].worker; got != want {
			t.Errorf("skill %d went to worker %d, want %d", q.Skill, got, want)
		}
	}
}

func TestDrainingAndDepartedWorkersGetNothing(t *testing.T) {
	for name, change := range map[string]func(r *recorder){
		"drains":             func(r *recorder) { r.list(ListDelta, Worker{ID: 1, State: Draining}) },
		"departed":           func(r *recorder) { r.list(ListDelta, Worker{ID: 1, State: Departed}) },
		"absent from a full": func(r *recorder) { r.list(ListFull, Worker{ID: 2, State: Ready}) },
	} {
		t.Run(name, func(t *testing.T) {
			r := newRecorder(t, testSettings(), 1)
			r.list(ListFull, ready(2)...)
			change(r)
			for id := RequestID(1); id <= 20; id++ {
				r.request(id, 0, 0.05)
				r.start(id, 0)
				r.runTo(r.now + 0.2)
				r.outcome(id, 0, OK)
			}
			if len(r.sends) < 20 {
				t.Errorf("only %d sends: the other worker should have served", len(r.sends))
			}
			for _, s := range r.sends {
				if s.worker == 1 {
					t.Fatal("sent to worker 1")
				}
			}
		})
	}
}
