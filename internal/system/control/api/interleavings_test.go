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

var retriesFlag = flag.Int("orders.retries", 0, "how often each copy is tried again as every order of events is played")

// schedule plays one order of events: where there is a choice, that of path, and the first one beyond its end.
type schedule struct {
	path         []int
	choiceCounts []int // how many choices there were at each place of the path
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

// advance moves to the next order of events; false: that was the last one.
func (s *schedule) advance() bool {
	s.position = 0
	for i := len(s.path) - 1; i >= 0; i-- {
		if s.path[i]+1 < s.choiceCounts[i] {
			s.path[i]++
			s.path, s.choiceCounts = s.path[:i+1], s.choiceCounts[:i+1]
			return true
		}
	}
	return false
}

// pendingEvent is something that may happen next.
type pendingEvent struct {
	name string
	run  func()
}

// exploration is two machines whose every order of events is played: when copies come, which state a confirmed read
// shows, when commands are agreed on, and whether their proposers learn of it.
type exploration struct {
	*simulation
	schedule      *schedule
	pending       []pendingEvent
	unknownBudget int // proposals that may yet get no answer
	trace         []string
}

func newExploration(s *schedule, unknown int) *exploration {
	e := &exploration{simulation: newSimulation(1), schedule: s, unknownBudget: unknown}
	e.profile.HistoryLimit = 0
	for i := range 2 {
		node := &simulatedNode{sim: e.simulation, number: i, up: true}
		node.state = node.newState()
		e.nodes = append(e.nodes, node)
	}
	return e
}

// enable makes an event possible.
func (e *exploration) enable(name string, happen func()) {
	e.pending = append(e.pending, pendingEvent{name, happen})
}

// play has events happen until there are none.
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

// commitCommand puts a command into the log. Machines learn of it by their barriers.
func (e *exploration) commitCommand(command []byte) []byte {
	result := e.checker.apply(len(e.log)+1, command)
	e.log = append(e.log, logEntry{command: command, result: string(result)})
	return result
}

// deliver has a machine take a copy of an order, and told its answer unless the process ended.
func (e *exploration) deliver(node *simulatedNode, gone bool, request *modelRequest, onResponse func(modelResponse)) {
	retries := *retriesFlag
	node.runHandler(gone, func(t *handlerTask) {
		committer := &committer{replicas: &exploredReplicas{exploration: e, task: t}, state: &simulatedState{task: t},
			prepare: prepareModelChange, sleep: func(context.Context, time.Duration) bool {
				retries--
				return retries >= 0 && !t.ended
			}}
		ctx := taskContext{context.Background(), t}
		var answer modelResponse
		if request.zone != "" {
			answer = responseOf(0, committer.setEvacuation(ctx, request.zone, request.on))
		} else {
			answer = responseOf(committer.commit(ctx, request.changeRequest()))
		}
		if !t.ended {
			e.checker.handleResponse(request, answer)
			onResponse(answer)
		}
	})
}

// exploredReplicas are a machine's replicas.
type exploredReplicas struct {
	replica.Replicas
	exploration *exploration
	task        *handlerTask
}

// Barrier holds for what was agreed on before the call; a machine may know more by then.
func (r *exploredReplicas) Barrier(context.Context, feed.Partition) error {
	e, node := r.exploration, r.task.node
	least := len(e.log)
	alive := r.task.await(func(resume func()) {
		e.enable("barrier", func() {
			index := max(least, node.applied)
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

// Propose has a command agreed on, at any time after an unknown outcome was told.
func (r *exploredReplicas) Propose(_ context.Context, _ feed.Partition, command []byte) ([]byte, error) {
	e := r.exploration
	var result []byte
	alive := r.task.await(func(resume func()) {
		e.enable("propose", func() {
			if e.unknownBudget > 0 && e.schedule.choose(2) == 1 {
				e.unknownBudget--
				e.enable("agree late", func() { e.commitCommand(command) })
			} else {
				result = e.commitCommand(command)
				r.task.node.applyTo(len(e.log)) // as the one that leads
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

// changeScenario sends a change through both machines, and a rival with the same number on the same version.
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

// earlyChangeScenario sends a change through both machines that builds on one which is not agreed on yet.
func earlyChangeScenario(e *exploration) {
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

// evacuationScenario sends an evacuation through both machines, and takes it back through one, whether there was an
// answer or not. Copies that come once their sender has given them up are known to be so.
func evacuationScenario(e *exploration) {
	begin := &modelRequest{number: 1, zone: "a", on: true}
	finish := &modelRequest{number: 2, zone: "a"}
	cancelled := false
	onResponse := func(request *modelRequest) func(modelResponse) {
		return func(answer modelResponse) {
			if answer.status == http.StatusOK && !(cancelled && request == begin) && !request.acknowledged {
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

// TestAllInterleavings plays every order of events of small scripts with at most one outcome that is not known. With one
// retry of each copy, by -orders.retries 1, it takes minutes.
func TestAllInterleavings(t *testing.T) {
	scripts := map[string]func(*exploration){
		"changes":       changeScenario,
		"early changes": earlyChangeScenario,
		"evacuations":   evacuationScenario,
	}
	for name, script := range scripts {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			played, failed := exploreAll(script, mutation{})
			if failed != "" {
				t.Error(failed)
			}
			t.Logf("%d orders of events", played)
		})
	}
}

// maxUnknownOutcomes is how many proposals of a script have an outcome that is not known.
const maxUnknownOutcomes = 1

// exploreAll plays every order of events until one fails, and says what that was.
func exploreAll(script func(*exploration), mutant mutation) (played int, failed string) {
	for s := (&schedule{}); ; {
		e := newExploration(s, maxUnknownOutcomes)
		e.mutation = mutant
		script(e)
		e.play()
		played++
		if e.failure != "" {
			return played, fmt.Sprintf("%s after %v (path %v)", e.failure, e.trace, s.path)
		}
		if !s.advance() {
			return played, ""
		}
	}
}

// TestInterleavingsFindMutations takes safeguards out, which has to be found.
func TestInterleavingsFindMutations(t *testing.T) {
	tests := []struct {
		name   string
		script func(*exploration)
		plant  mutation
	}{
		{"bases are not checked as changes are applied", changeScenario, mutation{skipBaseCheck: true}},
		{"a request that comes again is a new one", changeScenario, mutation{uniqueDigests: true}},
		{"what builds on a later version is refused", earlyChangeScenario, mutation{rejectEarly: true}},
		{"evacuations are applied whatever came first", evacuationScenario, mutation{skipSeenCheck: true}},
		{"evacuations that were overtaken are repeated", evacuationScenario, mutation{retrySuperseded: true}},
		{"callers that have gone are served", evacuationScenario, mutation{ignoreCancellation: true}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			played, failed := exploreAll(test.script, test.plant)
			if failed == "" {
				t.Errorf("not found in %d orders of events", played)
			}
			t.Logf("%d orders of events: %s", played, failed)
		})
	}
}
