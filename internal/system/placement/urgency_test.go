package placement

import (
	"testing"
	"time"

	"cinderroad/internal/system/configuration"
)

// urgencyRequest is one of a rank with so much time left.
func urgencyRequest(rank int, now, left time.Duration) *Request {
	return &Request{Route: &configuration.Route{Rank: rank}, Deadline: now + left}
}

func TestUrgencyWithoutRefusals(t *testing.T) {
	var u urgency
	now := 10 * time.Second
	u.note(now, urgencyRequest(0, now, 3*time.Second))
	late := urgencyRequest(2, now, 15*time.Second)
	u.note(now, late)
	if got, want := u.bearable(now, late), waitedShare*15; got != want {
		t.Errorf("bearable %v s, want %v: nothing more urgent is refused", got, want)
	}
	if u.yields(now, late) {
		t.Error("a request yields though nothing more urgent is refused")
	}
}

func TestLessUrgentYieldsToRefused(t *testing.T) {
	var u urgency
	now := 10 * time.Second
	urgent, late := urgencyRequest(0, now, 3*time.Second), urgencyRequest(2, now, 15*time.Second)
	u.note(now, urgent)
	u.note(now, late)
	u.refuse(now, urgent)
	if got, own := u.bearable(now, late), u.bearable(now, urgent); got >= own {
		t.Errorf("the less urgent one may wait %v s, the urgent one %v s", got, own)
	}
	if !u.yields(now, late) || u.yields(now, urgent) {
		t.Error("only less urgent requests yield")
	}
	if after := now + yieldSpan + 1; u.yields(after, late) || u.bearable(after, urgencyRequest(2, after, 15*time.Second)) < 7 {
		t.Error("it yields for too long after the last refusal")
	}
}

// A refused request that is not urgent has nobody yield.
func TestUrgentDoesNotYield(t *testing.T) {
	var u urgency
	now := 10 * time.Second
	u.refuse(now, urgencyRequest(2, now, 15*time.Second))
	urgent := urgencyRequest(0, now, 3*time.Second)
	if u.yields(now, urgent) || u.bearable(now, urgent) != waitedShare*3 {
		t.Error("an urgent request yields to a less urgent one")
	}
}

// Under load a request that is not urgent is not taken on the strength of its long deadline where an urgent one is
// refused; it is once none has been refused for a while.
func TestRefusalsBeginWithTheLeastUrgent(t *testing.T) {
	p := testPlacer(t, testRunners("api", 3))
	for _, w := range p.runners {
		w.room, w.taken, w.wait = -1, 6, 2
	}
	urgent := testRequest(testStart, "api", testRoute())
	route := testRoute()
	route.Name, route.Rank = "late", 2
	late := testRequest(testStart, "api", route)
	late.Deadline = testStart + 15*time.Second
	if _, refusal := p.Place(testStart, late); refusal != nil {
		t.Fatalf("refused before any urgent one: %+v", refusal)
	}
	if _, refusal := p.Place(testStart, urgent); refusal == nil {
		t.Fatal("an urgent request is sent where it would wait twice its time")
	}
	if _, refusal := p.Place(testStart, late); refusal == nil {
		t.Error("a request that is not urgent is taken while urgent ones are refused")
	}
	late.Deadline += 2 * yieldSpan
	after := testStart + 2*yieldSpan
	for _, w := range p.runners {
		w.wait = 2
	}
	if _, refusal := p.Place(after, late); refusal != nil {
		t.Errorf("still refused long after the last urgent one: %+v", refusal)
	}
}
