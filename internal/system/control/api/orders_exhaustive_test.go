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
	c := &exploration{simulation: newSimulation(1), schedule: s, unknownBudget: unknown}
	c.profile.HistoryLimit = 0
	for i := range 2 {
		m := &simulatedNode{sim: c.simulation, number: i, up: true}
		m.state = m.newState()
		c.nodes = append(c.nodes, m)
	}
	return c
}

// enable makes an event possible.
func (c *exploration) enable(name string, happen func()) {
	c.pending = append(c.pending, pendingEvent{name, happen})
}

// play has events happen until there are none.
func (c *exploration) play() {
	for len(c.pending) > 0 && c.failure == "" {
		i := c.schedule.choose(len(c.pending))
		event := c.pending[i]
		c.pending = append(c.pending[:i:i], c.pending[i+1:]...)
		c.trace = append(c.trace, event.name)
		event.run()
	}
	for _, m := range c.nodes {
		m.kill()
	}
}

// commitCommand puts a command into the log. Machines learn of it by their barriers.
func (c *exploration) commitCommand(command []byte) []byte {
	result := c.checker.apply(len(c.log)+1, command)
	c.log = append(c.log, logEntry{command: command, result: string(result)})
	return result
}

// deliver has a machine take a copy of an order, and told its answer unless the process ended.
func (c *exploration) deliver(m *simulatedNode, gone bool, order *modelRequest, onResponse func(modelResponse)) {
	retries := *retriesFlag
	m.runHandler(gone, func(t *handlerTask) {
		committer := &committer{replicas: &exploredReplicas{exploration: c, task: t}, state: &simulatedState{task: t},
			prepare: prepareModelChange, sleep: func(context.Context, time.Duration) bool {
				retries--
				return retries >= 0 && !t.ended
			}}
		ctx := taskContext{context.Background(), t}
		var answer modelResponse
		if order.zone != "" {
			answer = responseOf(0, committer.setEvacuation(ctx, order.zone, order.on))
		} else {
			answer = responseOf(committer.commit(ctx, order.changeRequest()))
		}
		if !t.ended {
			c.checker.handleResponse(order, answer)
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
	c, m := r.exploration, r.task.node
	least := len(c.log)
	alive := r.task.await(func(resume func()) {
		c.enable("barrier", func() {
			index := max(least, m.applied)
			index += c.schedule.choose(len(c.log) - index + 1)
			m.applyTo(index)
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
	c := r.exploration
	var result []byte
	alive := r.task.await(func(resume func()) {
		c.enable("propose", func() {
			if c.unknownBudget > 0 && c.schedule.choose(2) == 1 {
				c.unknownBudget--
				c.enable("agree late", func() { c.commitCommand(command) })
			} else {
				result = c.commitCommand(command)
				r.task.node.applyTo(len(c.log)) // as the one that leads
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
func changeScenario(c *exploration) {
	first := &modelRequest{number: 1, version: 2, text: "first"}
	rival := &modelRequest{number: 2, version: 2, text: "rival"}
	for _, order := range []*modelRequest{first, rival} {
		c.checker.beginOperation(1, order, "")
	}
	send := func(machine int, order *modelRequest) {
		c.enable("send", func() { c.deliver(c.nodes[machine], false, order, func(modelResponse) {}) })
	}
	send(0, first)
	send(1, first)
	send(1, rival)
}

// earlyChangeScenario sends a change through both machines that builds on one which is not agreed on yet.
func earlyChangeScenario(c *exploration) {
	first := &modelRequest{number: 1, version: 2, text: "first"}
	later := &modelRequest{number: 2, basedOn: 2, version: 3, text: "later"}
	for _, order := range []*modelRequest{first, later} {
		c.checker.beginOperation(1, order, "")
	}
	for machine, order := range []*modelRequest{first, later} {
		c.enable("send", func() { c.deliver(c.nodes[machine], false, order, func(modelResponse) {}) })
	}
	c.enable("send again", func() { c.deliver(c.nodes[0], false, later, func(modelResponse) {}) })
}

// evacuationScenario sends an evacuation through both machines, and takes it back through one, whether there was an
// answer or not. Copies that come once their sender has given them up are known to be so.
func evacuationScenario(c *exploration) {
	begin := &modelRequest{number: 1, zone: "a", on: true}
	finish := &modelRequest{number: 2, zone: "a"}
	given := false
	hold := func(order *modelRequest) func(modelResponse) {
		return func(answer modelResponse) {
			if answer.status == http.StatusOK && !(given && order == begin) && !order.acknowledged {
				order.acknowledged = true
				c.checker.handleAcknowledgedEvacuation(order)
			}
		}
	}
	c.checker.beginOperation(1, begin, "a")
	for machine := range 2 {
		c.enable("begin", func() { c.deliver(c.nodes[machine], given, begin, hold(begin)) })
	}
	c.enable("finish", func() {
		given = true
		c.checker.beginOperation(1, finish, "a")
		c.deliver(c.nodes[0], false, finish, hold(finish))
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
func exploreAll(script func(*exploration), plant mutation) (played int, failed string) {
	for s := (&schedule{}); ; {
		c := newExploration(s, maxUnknownOutcomes)
		c.mutation = plant
		script(c)
		c.play()
		played++
		if c.failure != "" {
			return played, fmt.Sprintf("%s after %v (path %v)", c.failure, c.trace, s.path)
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
