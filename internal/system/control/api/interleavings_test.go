package api

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"testing"
	"time"

	"cinderroad/internal/system/feed"
	"cinderroad/internal/system/replica"
)

var retriesFlag = flag.Int("orders.retries", 0, "retries of each request in every interleaving")

// schedule enumerates interleavings: it makes the choices in path, and the first choice beyond its end.
type schedule struct {
	path         []int
	choiceCounts []int // number of choices at each position of path
	position     int
}

func (s *schedule) choose(n int) int {
	if s.position == len(s.path) {
		s.path = append(s.path, 0)
		s.choiceCounts = append(s.choiceCounts, n)
	}
	s.choiceCounts[s.position] = n
	choice := s.path[s.position]
	s.position++
	return choice
}

// advance moves to the next interleaving; false: that was the last one.
func (s *schedule) advance() bool {
	s.position = 0
	for i := len(s.path) - 1; i >= 0; i-- {
		if s.path[i]+1 < s.choiceCounts[i] {
			s.path[i]++
			s.path = s.path[:i+1]
			s.choiceCounts = s.choiceCounts[:i+1]
			return true
		}
	}
	return false
}

// pendingEvent is an event that may occur next.
type pendingEvent struct {
	name string
	run  func()
}

// exploration runs two nodes through one interleaving of its events: when requests arrive, which state a barrier shows,
// when commands are committed, and whether their proposers learn of it.
type exploration struct {
	*simulation
	schedule      *schedule
	pending       []pendingEvent
	unknownBudget int // proposals whose outcome may still be made unknown
	trace         []string
}

func newExploration(s *schedule, unknownBudget int) *exploration {
	e := &exploration{simulation: newSimulation(1), schedule: s, unknownBudget: unknownBudget}
	e.profile.HistoryLimit = 0
	for i := range 2 {
		node := &simulatedNode{sim: e.simulation, number: i, up: true}
		node.state = node.newState()
		e.nodes = append(e.nodes, node)
	}
	return e
}

// enable adds an event to those that may occur.
func (e *exploration) enable(name string, run func()) {
	e.pending = append(e.pending, pendingEvent{name, run})
}

// play runs events until there are none.
func (e *exploration) play() {
	for len(e.pending) > 0 && e.failure == "" {
		i := e.schedule.choose(len(e.pending))
		event := e.pending[i]
		e.pending = append(e.pending[:i:i], e.pending[i+1:]...)
		e.trace = append(e.trace, event.name)
		event.run()
	}
	for _, node := range e.nodes {
		node.kill()
	}
}

// commitCommand appends a command to the log. Nodes learn of it by their barriers.
func (e *exploration) commitCommand(command []byte) []byte {
	result := e.checker.apply(len(e.log)+1, command)
	e.log = append(e.log, logEntry{command: command, result: string(result)})
	return result
}

// deliver runs a request on a node; onResponse is called unless the process ends first.
func (e *exploration) deliver(node *simulatedNode, cancelled bool, request *modelRequest, onResponse func(modelResponse)) {
	retries := *retriesFlag
	node.runHandler(cancelled, func(t *handlerTask) {
		committer := &committer{
			replicas: &exploredReplicas{exploration: e, task: t},
			state:    &simulatedState{task: t},
			prepare:  prepareModelChange,
			sleep: func(context.Context, time.Duration) bool {
				retries--
				return retries >= 0 && !t.ended
			},
		}
		ctx := taskContext{context.Background(), t}
		var response modelResponse
		if request.zone != "" {
			response = responseOf(0, committer.setEvacuation(ctx, request.zone, request.evacuate))
		} else {
			response = responseOf(committer.commit(ctx, request.changeRequest()))
		}
		if !t.ended {
			e.checker.handleResponse(request, response)
			onResponse(response)
		}
	})
}

// exploredReplicas models the replicas of a node.
type exploredReplicas struct {
	replica.Replicas
	exploration *exploration
	task        *handlerTask
}

// Barrier covers what was committed before the call; the node may know more by then.
func (r *exploredReplicas) Barrier(context.Context, feed.Partition) error {
	e := r.exploration
	node := r.task.node
	committed := len(e.log)
	alive := r.task.await(func(resume func()) {
		e.enable("barrier", func() {
			index := max(committed, node.applied)
			index += e.schedule.choose(len(e.log) - index + 1)
			node.applyTo(index)
			resume()
		})
	})
	if !alive {
		return errProcessKilled
	}
	return nil
}

// Propose commits a command, possibly after its outcome was reported as unknown.
func (r *exploredReplicas) Propose(_ context.Context, _ feed.Partition, command []byte) ([]byte, error) {
	e := r.exploration
	var result []byte
	alive := r.task.await(func(resume func()) {
		e.enable("propose", func() {
			if e.unknownBudget > 0 && e.schedule.choose(2) == 1 {
				e.unknownBudget--
				e.enable("commit late", func() { e.commitCommand(command) })
			} else {
				result = e.commitCommand(command)
				r.task.node.applyTo(len(e.log)) // as the leader's
			}
			resume()
		})
	})
	switch {
	case !alive:
		return nil, errProcessKilled
	case result == nil:
		return nil, &replica.UnknownOutcomeError{}
	}
	return result, nil
}

// changeScenario sends a change to both nodes, and a rival with the same number on the same version.
func changeScenario(e *exploration) {
	first := &modelRequest{number: 1, version: 2, text: "first"}
	rival := &modelRequest{number: 2, version: 2, text: "rival"}
	for _, request := range []*modelRequest{first, rival} {
		e.checker.beginOperation(1, request, "")
	}
	send := func(machine int, request *modelRequest) {
		e.enable("send", func() { e.deliver(e.nodes[machine], false, request, func(modelResponse) {}) })
	}
	send(0, first)
	send(1, first)
	send(1, rival)
}

// prematureChangeScenario sends to both nodes a change that builds on one which is not committed yet.
func prematureChangeScenario(e *exploration) {
	first := &modelRequest{number: 1, version: 2, text: "first"}
	later := &modelRequest{number: 2, basedOn: 2, version: 3, text: "later"}
	for _, request := range []*modelRequest{first, later} {
		e.checker.beginOperation(1, request, "")
	}
	for machine, request := range []*modelRequest{first, later} {
		e.enable("send", func() { e.deliver(e.nodes[machine], false, request, func(modelResponse) {}) })
	}
	e.enable("send again", func() { e.deliver(e.nodes[0], false, later, func(modelResponse) {}) })
}

// evacuationScenario sends an evacuation to both nodes and reverts it through one, whether there was a response or not.
// Copies that arrive after their sender has given them up are known to be cancelled.
func evacuationScenario(e *exploration) {
	begin := &modelRequest{number: 1, zone: "a", evacuate: true}
	finish := &modelRequest{number: 2, zone: "a"}
	cancelled := false
	onResponse := func(request *modelRequest) func(modelResponse) {
		return func(response modelResponse) {
			if response.status == http.StatusOK && !(cancelled && request == begin) && !request.acknowledged {
				request.acknowledged = true
				e.checker.handleAcknowledgedEvacuation(request)
			}
		}
	}
	e.checker.beginOperation(1, begin, "a")
	for machine := range 2 {
		e.enable("begin", func() { e.deliver(e.nodes[machine], cancelled, begin, onResponse(begin)) })
	}
	e.enable("finish", func() {
		cancelled = true
		e.checker.beginOperation(1, finish, "a")
		e.deliver(e.nodes[0], false, finish, onResponse(finish))
	})
}

// TestAllInterleavings runs every interleaving of small scenarios with at most one unknown outcome. With a retry of
// each request (-orders.retries 1) it takes minutes.
func TestAllInterleavings(t *testing.T) {
	scenarios := map[string]func(*exploration){
		"changes":           changeScenario,
		"premature changes": prematureChangeScenario,
		"evacuations":       evacuationScenario,
	}
	for name, scenario := range scenarios {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			count, failure := exploreAll(scenario, mutation{})
			if failure != "" {
				t.Error(failure)
			}
			t.Logf("%d interleavings", count)
		})
	}
}

// maxUnknownOutcomes is the number of proposals in a scenario whose outcome may be unknown.
const maxUnknownOutcomes = 1

// exploreAll runs every interleaving until one fails, and returns how many it ran and the failure.
func exploreAll(scenario func(*exploration), mutation mutation) (count int, failure string) {
	for s := (&schedule{}); ; {
		e := newExploration(s, maxUnknownOutcomes)
		e.mutation = mutation
		scenario(e)
		e.play()
		count++
		if e.failure != "" {
			return count, fmt.Sprintf("%s after %v (path %v)", e.failure, e.trace, s.path)
		}
		if !s.advance() {
			return count, ""
		}
	}
}

// TestInterleavingsFindMutations disables one safeguard at a time; some interleaving has to show it.
func TestInterleavingsFindMutations(t *testing.T) {
	tests := []struct {
		name     string
		scenario func(*exploration)
		mutation mutation
	}{
		{"changes are applied on any base", changeScenario, mutation{skipBaseCheck: true}},
		{"copies of a request have different digests", changeScenario, mutation{uniqueDigests: true}},
		{"premature changes are rejected", prematureChangeScenario, mutation{rejectPremature: true}},
		{"evacuations are applied unconditionally", evacuationScenario, mutation{skipRevisionCheck: true}},
		{"superseded evacuations are repeated", evacuationScenario, mutation{retrySuperseded: true}},
		{"disconnected callers are served", evacuationScenario, mutation{ignoreCancellation: true}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			count, failure := exploreAll(test.scenario, test.mutation)
			if failure == "" {
				t.Errorf("not found in %d interleavings", count)
			}
			t.Logf("%d interleavings: %s", count, failure)
		})
	}
}
