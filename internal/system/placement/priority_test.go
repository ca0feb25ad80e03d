package placement

import "testing"

// Long prompts come after short ones, but never before those of a higher rank that are as long.
func TestLongPromptsGetLowerPriority(t *testing.T) {
	p := startedTestPlacer(t, testRunners("llm", 3))
	order := func(rank, tokens int) int {
		route := testRoute()
		route.Rank = rank
		r := testRequest(testStart, "llm", route)
		r.InputTokens = tokens
		c, _ := p.Place(testStart, r)
		return c.Priority
	}
	const short, long = 1500, 1600 // a slot of the test's engine has 3125 tokens
	if order(1, long) <= order(2, short) {
		t.Errorf("a long prompt of rank 1 at %d, a short one of rank 2 at %d", order(1, long), order(2, short))
	}
	for rank := range 5 {
		if order(rank, long) < order(rank, short) || order(rank+1, long) < order(rank, long) {
			t.Errorf("rank %d: short %d, long %d, long of the next rank %d", rank, order(rank, short), order(rank, long),
				order(rank+1, long))
		}
		if order(rank, long) > lowestPriority {
			t.Errorf("rank %d: priority %d", rank, order(rank, long))
		}
	}
}
