package placement

import (
	"testing"
	"time"

	"cinderroad/internal/system/configuration"
)

// rankRequest returns a request of a rank with a remaining time.
func rankRequest(rank int, now, left time.Duration) *Request {
	return &Request{Route: &configuration.Route{Rank: rank}, Deadline: now + left}
}

func TestMaxWaitWithoutRejections(t *testing.T) {
	var u loadShedding
	now := 10 * time.Second
	u.recordArrival(now, rankRequest(0, now, 3*time.Second))
	late := rankRequest(2, now, 15*time.Second)
	u.recordArrival(now, late)
	if got, want := u.maxWait(now, late), maxWaitShare*15; got != want {
		t.Errorf("bearable %v s, want %v: nothing more urgent is rejected", got, want)
	}
	if u.mustYield(now, late) {
		t.Error("a request yields though nothing more urgent is rejected")
	}
}

func TestLowerRankYieldsToRejectedHigherRank(t *testing.T) {
	var shedding loadShedding
	now := 10 * time.Second
	urgent, late := rankRequest(0, now, 3*time.Second), rankRequest(2, now, 15*time.Second)
	shedding.recordArrival(now, urgent)
	shedding.recordArrival(now, late)
	shedding.recordRejection(now, urgent)
	if got, own := shedding.maxWait(now, late), shedding.maxWait(now, urgent); got >= own {
		t.Errorf("the less urgent one may wait %v s, the urgent one %v s", got, own)
	}
	if !shedding.mustYield(now, late) || shedding.mustYield(now, urgent) {
		t.Error("only less urgent requests yield")
	}
	after := now + yieldDuration + 1
	if shedding.mustYield(after, late) || shedding.maxWait(after, rankRequest(2, after, 15*time.Second)) < 7 {
		t.Error("it yields for too long after the last rejection")
	}
}

// A rejected request of a low rank makes no higher rank yield.
func TestHigherRankDoesNotYield(t *testing.T) {
	var u loadShedding
	now := 10 * time.Second
	u.recordRejection(now, rankRequest(2, now, 15*time.Second))
	urgent := rankRequest(0, now, 3*time.Second)
	if u.mustYield(now, urgent) || u.maxWait(now, urgent) != maxWaitShare*3 {
		t.Error("an urgent request yields to a less urgent one")
	}
}

// Under load a request of a low rank with a long deadline is rejected while more urgent ones are; it is placed again once
// none of those has been rejected for yieldDuration.
func TestLowerRanksAreRejectedFirst(t *testing.T) {
	placer := startedTestPlacer(t, testRunners("api", 3))
	for _, runner := range placer.runners {
		runner.spareSlots = -1
		runner.occupiedSlots = 6
		runner.excessWait = 2
	}
	urgent := testRequest(testStart, "api", testRoute())
	route := testRoute()
	route.Name = "late"
	route.Rank = 2
	late := testRequest(testStart, "api", route)
	late.Deadline = testStart + 15*time.Second
	if _, rejection := placer.Place(testStart, late); rejection != nil {
		t.Fatalf("rejected before any urgent one: %+v", rejection)
	}
	if _, rejection := placer.Place(testStart, urgent); rejection == nil {
		t.Fatal("an urgent request is sent where it would wait twice its time")
	}
	if _, rejection := placer.Place(testStart, late); rejection == nil {
		t.Error("a request that is not urgent is placed while urgent ones are rejected")
	}
	late.Deadline += 2 * yieldDuration
	after := testStart + 2*yieldDuration
	for _, runner := range placer.runners {
		runner.excessWait = 2
	}
	if _, rejection := placer.Place(after, late); rejection != nil {
		t.Errorf("still rejected long after the last urgent one: %+v", rejection)
	}
}
