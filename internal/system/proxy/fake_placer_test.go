package proxy

import (
	"slices"
	"strings"
	"time"

	"cinderroad/internal/system/configuration"
	"cinderroad/internal/system/placement"
)

// fakeRoutes routes by the path prefix alone.
type fakeRoutes struct{ routes []*configuration.Route }

func (f *fakeRoutes) Lookup(host, path string) *configuration.Route {
	host, _, _ = strings.Cut(host, ":")
	for _, r := range f.routes {
		if host == r.Host && strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

func route(name string, kind configuration.RouteType) *configuration.Route {
	return &configuration.Route{
		Name:          name,
		Host:          "h.example",
		PathPrefix:    "/" + name + "/",
		Type:          kind,
		Timeout:       20 * time.Second,
		LatencyTarget: time.Second,
		MaxAttempts:   3,
		Shares:        []configuration.Share{{Service: "s", Weight: 1}},
	}
}

// fakePlacer chooses the first runner that was not tried. It belongs to the loop's goroutine.
type fakePlacer struct {
	runners     []placement.Runner
	rejection   *placement.Rejection
	noRetry     bool // retries are not permitted
	spread      bool // rotates through the runners
	priority    int  // of each choice, plus 1; 0: the choice has none
	events      int  // of all streams
	lastRequest placement.Request
	restored    []byte
	// routeUpdates are the names of routes that were announced, with a dash before removed ones.
	routeUpdates []string

	// Both block the loop when they are full. nil: nobody receives.
	outcomes chan string // "RUNNER OUTCOME" of each attempt that has ended
	sent     chan string // the runner of each attempt that has started
}

func notify(to chan string, what string) {
	if to != nil {
		to <- what
	}
}

func (f *fakePlacer) SetServices(time.Duration, []*configuration.Service) {}

func (f *fakePlacer) UpdateRoutes(_ time.Duration, changed []*configuration.Route, removed []string) {
	for _, route := range changed {
		f.routeUpdates = append(f.routeUpdates, route.Name)
	}
	for _, name := range removed {
		f.routeUpdates = append(f.routeUpdates, "-"+name)
	}
}

func (f *fakePlacer) SetRunners(time.Duration, []placement.Runner) {}

func (f *fakePlacer) SetEvacuatedZones(time.Duration, map[string]bool) {}

func (f *fakePlacer) SetProxyCount(time.Duration, int) {}

func (f *fakePlacer) SetPeers(time.Duration, uint64, []uint64) {}

func (f *fakePlacer) HandleNotice(time.Duration, placement.Notice) {}

func (f *fakePlacer) Place(_ time.Duration, request *placement.Request) (placement.Choice, *placement.Rejection) {
	f.lastRequest = *request
	if f.rejection != nil {
		return placement.Choice{}, f.rejection
	}
	for _, candidate := range f.runners {
		if !slices.Contains(request.TriedRunners, candidate.ID) {
			if f.spread {
				f.runners = append(f.runners[1:len(f.runners):len(f.runners)], f.runners[0])
			}
			return placement.Choice{Runner: candidate.ID, Address: candidate.Address, Priority: f.priority - 1}, nil
		}
	}
	return placement.Choice{}, &placement.Rejection{RetryAfter: 1500 * time.Millisecond, Reason: "all tried"}
}

func (f *fakePlacer) StartAttempt(_ time.Duration, r *placement.Request, c placement.Choice) *placement.Attempt {
	notify(f.sent, c.Runner)
	return &placement.Attempt{Runner: c.Runner, Request: r}
}

func (f *fakePlacer) HandleFirstEvent(time.Duration, *placement.Attempt) { f.events++ }

func (f *fakePlacer) HandleEvent(time.Duration, *placement.Attempt) { f.events++ }

func (f *fakePlacer) EndAttempt(_ time.Duration, a *placement.Attempt, o placement.Outcome, _ placement.Progress) {
	// In the order of the placement.Outcome constants.
	names := []string{"served", "not run", "wrong runner", "failed", "broken", "silent", "unreached", "abandoned"}
	notify(f.outcomes, a.Runner+" "+names[o])
}

func (f *fakePlacer) MayRetry(time.Duration, *placement.Request) bool { return !f.noRetry }

func (f *fakePlacer) Tick(now time.Duration) time.Duration { return now + time.Hour }

func (f *fakePlacer) Snapshot() []byte { return []byte("learnt") }

func (f *fakePlacer) Restore(_ time.Duration, b []byte) error { f.restored = b; return nil }
