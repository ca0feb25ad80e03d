package policysim

import (
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cinderroad/internal/system/configuration"
	"cinderroad/internal/system/placement"
)

// BaselinePolicies returns simple policies that know only the proxy's own requests in flight and the prompts.
func BaselinePolicies() []PolicyFactory {
	return []PolicyFactory{
		newBaselineFactory("least-in-flight", (*baseline).leastInFlight),
		newBaselineFactory("two-choices", (*baseline).twoChoices),
		newBaselineFactory("prompt-hash", (*baseline).promptHash),
		newBaselineFactory("bounded-hash", (*baseline).boundedHash),
	}
}

func newBaselineFactory(name string, pick picker) PolicyFactory {
	return PolicyFactory{Name: name, New: func(o placement.Options, seed uint64) (Policy, error) {
		return &baseline{
			options:  o,
			pick:     pick,
			random:   rand.New(rand.NewPCG(seed, policyStream)),
			inFlight: make(map[string]int),
		}, nil
	}}
}

// maxLoadFactor is how many times the mean number of requests a runner may have under bounded-hash.
const maxLoadFactor = 1.25

// noPriority is the priority of a choice that leaves it to the engine.
const noPriority = -1

// picker chooses one of at least one runner.
type picker func(b *baseline, r *placement.Request, runners []*placement.Runner) *placement.Runner

// baseline is a policy without concurrency limits: it sends to any serving runner of the service in the route's home
// regions, and rejects only if there is none.
type baseline struct {
	options  placement.Options
	pick     picker
	random   *rand.Rand
	runners  []placement.Runner
	inFlight map[string]int // requests, by the runner's id
	attempts uint64
}

var _ Policy = (*baseline)(nil)

// SetServices implements Policy. Baselines do not use what a service says of its runners.
func (b *baseline) SetServices(time.Duration, []*configuration.Service) {}

// SetRunners implements Policy.
func (b *baseline) SetRunners(_ time.Duration, runners []placement.Runner) { b.runners = runners }

// SetProxyCount implements Policy. Baselines share no budgets.
func (b *baseline) SetProxyCount(time.Duration, int) {}

// Place implements Policy: the baseline's choice among the eligible runners.
func (b *baseline) Place(_ time.Duration, request *placement.Request) (placement.Choice, *placement.Rejection) {
	allowed := b.eligibleRunners(request)
	if len(allowed) == 0 {
		return placement.Choice{}, &placement.Rejection{RetryAfter: time.Second, Reason: "no runner"}
	}
	chosen := b.pick(b, request, allowed)
	return placement.Choice{Runner: chosen.ID, Address: chosen.Address, Priority: noPriority}, nil
}

// eligibleRunners returns the runners that may serve a request. Those that it was sent to already are among them only
// if there are no others.
func (b *baseline) eligibleRunners(request *placement.Request) []*placement.Runner {
	var fresh, tried []*placement.Runner
	for i := range b.runners {
		runner := &b.runners[i]
		if runner.Service != request.Service || runner.Draining {
			continue
		}
		if homes := request.Route.HomeRegions; len(homes) > 0 && !slices.Contains(homes, runner.Region) {
			continue
		}
		if slices.Contains(request.TriedRunners, runner.ID) {
			tried = append(tried, runner)
		} else {
			fresh = append(fresh, runner)
		}
	}
	if len(fresh) > 0 {
		return fresh
	}
	return tried
}

// StartAttempt implements Policy: it counts the attempt at its runner.
func (b *baseline) StartAttempt(_ time.Duration, r *placement.Request, c placement.Choice) *placement.Attempt {
	b.attempts++
	b.inFlight[c.Runner]++
	return &placement.Attempt{ID: b.attempts, Runner: c.Runner, Request: r}
}

// HandleFirstEvent implements Policy. Baselines learn nothing from it.
func (b *baseline) HandleFirstEvent(time.Duration, *placement.Attempt) {}

// HandleEvent implements Policy. Baselines learn nothing from it.
func (b *baseline) HandleEvent(time.Duration, *placement.Attempt) {}

// EndAttempt implements Policy: the attempt no longer counts.
func (b *baseline) EndAttempt(_ time.Duration, a *placement.Attempt, _ placement.Outcome, _ placement.Progress) {
	b.inFlight[a.Runner]--
}

// MayRetry implements Policy. Baselines have no retry budget.
func (b *baseline) MayRetry(now time.Duration, r *placement.Request) bool {
	return r.MayRepeat(now)
}

// Tick implements Policy. Baselines have no periodic work.
func (b *baseline) Tick(now time.Duration) time.Duration { return now + time.Second }

// leastInFlight chooses the runner with the fewest requests of this proxy in flight; ties are broken at random.
func (b *baseline) leastInFlight(_ *placement.Request, runners []*placement.Runner) *placement.Runner {
	var best *placement.Runner
	ties := 0
	for _, runner := range runners {
		switch {
		case best == nil || b.inFlight[runner.ID] < b.inFlight[best.ID]:
			best = runner
			ties = 1
		case b.inFlight[runner.ID] == b.inFlight[best.ID]:
			ties++
			if b.random.IntN(ties) == 0 {
				best = runner
			}
		}
	}
	return best
}

// twoChoices chooses, of two random runners, the one with fewer requests in flight.
func (b *baseline) twoChoices(_ *placement.Request, runners []*placement.Runner) *placement.Runner {
	first := runners[b.random.IntN(len(runners))]
	second := runners[b.random.IntN(len(runners))]
	if b.inFlight[second.ID] < b.inFlight[first.ID] {
		return second
	}
	return first
}

// promptHash chooses by rendezvous hashing of the prompt; at random if it has no shared chunk.
func (b *baseline) promptHash(request *placement.Request, runners []*placement.Runner) *placement.Runner {
	if !hasSharedChunk(request) {
		return runners[b.random.IntN(len(runners))]
	}
	return slices.MaxFunc(runners, byRendezvousWeight(request))
}

// boundedHash is promptHash with bounded loads: a runner beyond maxLoadFactor times the mean is passed over.
func (b *baseline) boundedHash(request *placement.Request, runners []*placement.Runner) *placement.Runner {
	if !hasSharedChunk(request) {
		return b.leastInFlight(request, runners)
	}
	total := 1
	for _, runner := range runners {
		total += b.inFlight[runner.ID]
	}
	bound := maxLoadFactor * float64(total) / float64(len(runners))
	order := byRendezvousWeight(request)
	slices.SortFunc(runners, func(a, b *placement.Runner) int { return order(b, a) })
	for _, runner := range runners {
		if float64(b.inFlight[runner.ID]+1) <= max(1, bound) {
			return runner
		}
	}
	return b.leastInFlight(request, runners)
}

// hasSharedChunk reports whether a prompt has a chunk before its last one, which is the request's own.
func hasSharedChunk(request *placement.Request) bool { return len(request.Chunks) > 1 }

// byRendezvousWeight orders runners by rendezvous hashing of the last shared chunk of a prompt, of which there must be one.
// It never finds two runners equal: their weights are 64-bit hashes.
func byRendezvousWeight(request *placement.Request) func(a, b *placement.Runner) int {
	prefix := request.Chunks[len(request.Chunks)-2].ID
	weight := func(runner *placement.Runner) uint64 {
		key := binary.BigEndian.AppendUint64(nil, prefix)
		return xxhash.Sum64(append(key, runner.ID...))
	}
	return func(a, b *placement.Runner) int {
		if weight(a) < weight(b) {
			return -1
		}
		return 1
	}
}
