package loadbalancer

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// balancerWithShare returns the balancer of one of several instances.
func balancerWithShare(t *testing.T, p InstanceShare) *Balancer {
	t.Helper()
	b := newRecorder(t, testSettings(), 1).balancer
	if err := b.SetInstanceShare(p); err != nil {
		t.Fatal(err)
	}
	return b
}

// As long as each instance counts at least all that send, all of them together get no more than one turn's budget.
func TestInstancesWithDifferentViewsShareOneBudget(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		senders := make([]uint64, rapid.IntRange(1, 12).Draw(rt, "senders"))
		for i := range senders {
			senders[i] = rng.Uint64()
		}
		others := make([]uint64, 12)
		for i := range others {
			others[i] = rng.Uint64()
		}
		// The budget in largest jobs is the most that hold a turn: few, some, all.
		work := rapid.SampledFrom([]float64{0.05, 0.3, 0.8}).Draw(rt, "work")
		now := 1000.5 + 2*rng.Float64()
		sum := 0.0
		budget := 0.0
		for i := range senders {
			keys := append([]uint64{}, senders...)
			for _, o := range others {
				if rng.Float64() < 0.4 {
					keys = append(keys, o)
				}
			}
			b := balancerWithShare(t, InstanceShare{Instances: len(keys), Instance: i, BudgetShare: 1, InstanceKeys: keys})
			for j := range b.meanWork {
				b.meanWork[j] = work
			}
			w := &workerState{Worker: Worker{ID: 5, State: Ready, StartedAt: 999}, pace: 1}
			sum += b.slowStartBudgetLeft(now, w)
			budget = b.slowStartBudget(now, w)
		}
		if sum > budget*1.0001 {
			rt.Fatalf("%d senders give %.3f of a budget of %.3f", len(senders), sum, budget)
		}
	})
}

// An InstanceShare equal to the settings changes no decision, whatever shares were set in between.
func TestInstanceOfSettingsDecidesAsInstanceShare(t *testing.T) {
	play := func(set bool) (sends []string) {
		s := testSettings()
		s.Instances = 5
		s.Instance = 2
		r := newRecorder(t, s, 1)
		own := InstanceShare{Instances: 5, Instance: 2, BudgetShare: 1}
		if set {
			err := r.balancer.SetInstanceShare(InstanceShare{
				Instances:    3,
				Instance:     1,
				BudgetShare:  0.5,
				InstanceKeys: []uint64{1, 2, 3},
			})
			if err != nil {
				t.Fatal(err)
			}
			if err := r.balancer.SetInstanceShare(own); err != nil {
				t.Fatal(err)
			}
		}
		r.balancer.hedgeBudget = r.balancer.maxHedgeBudget / 2 // what a balancer begins with
		workers := ready(6)
		for i := range workers[:4] {
			workers[i].StartedAt = r.now - float64(i)
		}
		r.list(ListFull, workers...)
		for id := RequestID(1); id <= 400; id++ {
			r.runTo(r.now + 0.01)
			if set && id%7 == 0 {
				if err := r.balancer.SetInstanceShare(own); err != nil {
					t.Fatal(err)
				}
			}
			r.request(id, 0, 0.05)
		}
		for _, x := range r.sends {
			sends = append(sends, fmt.Sprint(x))
		}
		return sends
	}
	if d := cmp.Diff(play(false), play(true)); d != "" {
		t.Error(d)
	}
}

func TestInvalidInstanceShares(t *testing.T) {
	b := newRecorder(t, testSettings(), 1).balancer
	for _, p := range []InstanceShare{
		{},
		{Instances: 1, BudgetShare: 0},
		{Instances: 2, Instance: 2, BudgetShare: 1},
		{Instances: 2, Instance: -1, BudgetShare: 1},
		{Instances: 2, BudgetShare: 2},
		{Instances: 2, BudgetShare: 1, InstanceKeys: []uint64{1}},
	} {
		if b.SetInstanceShare(p) == nil {
			t.Errorf("%+v is accepted", p)
		}
	}
	if b.Instances != testSettings().Instances || b.budgetShare != 1 {
		t.Error("an invalid share has changed something")
	}
}
