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

var ordersRetries = flag.Int("orders.retries", 0, "how often each copy is tried again as every order of events is played")

// schedule plays one order of events: where there is a choice, that of path, and the first one beyond its end.
type schedule struct {
	path   []int
	widths []int // how many choices there were at each place of the path
	at     int
}

func (s *schedule) choose(n int) int {
	if s.at == len(s.path) {
		s.path = append(s.path, 0)
		s.widths = append(s.widths, n)
	}
	s.widths[s.at] = n
	choice := s.path[s.at]
	s.at++
	return choice
}

// next moves to the next order of events; false: that was the last one.
func (s *schedule) next() bool {
	s.at = 0
	for i := len(s.path) - 1; i >= 0; i-- {
		if s.path[i]+1 < s.widths[i] {
			s.path[i]++
			s.path, s.widths = s.path[:i+1], s.widths[:i+1]
			return true
		}
	}
	return false
}

// choiceEvent is something that may happen next.
type choiceEvent struct {
	name   string
	happen func()
}

// choiceWorld is two machines whose every order of events is played: when copies come, which state a confirmed read
// shows, when commands are agreed on, and whether their proposers learn of it.
type choiceWorld struct {
	*orderWorld
	schedule *schedule
	events   []choiceEvent
	unknown  int // proposals that may yet get no answer
	trace    []string
}

func newChoiceWorld(s *schedule, unknown int) *choiceWorld {
	c := &choiceWorld{orderWorld: newOrderWorld(1), schedule: s, unknown: unknown}
	c.profile.Memory = 0
	for i := range 2 {
		m := &orderMachine{world: c.orderWorld, number: i, up: true}
		m.state = m.emptyState()
		c.machines = append(c.machines, m)
	}
	return c
}

// offer makes an event possible.
func (c *choiceWorld) offer(name string, happen func()) {
	c.events = append(c.events, choiceEvent{name, happen})
}

// play has events happen until there are none.
func (c *choiceWorld) play() {
	for len(c.events) > 0 && c.failed == "" {
		i := c.schedule.choose(len(c.events))
		event := c.events[i]
		c.events = append(c.events[:i:i], c.events[i+1:]...)
		c.trace = append(c.trace, event.name)
		event.happen()
	}
	for _, m := range c.machines {
		m.kill()
	}
}

// agreeOn puts a command into the log. Machines learn of it by their barriers.
func (c *choiceWorld) agreeOn(command []byte) []byte {
	result := c.referee.apply(len(c.log)+1, command)
	c.log = append(c.log, agreedCommand{command: command, result: string(result)})
	return result
}

// deliver has a machine take a copy of an order, and told its answer unless the process ended.
func (c *choiceWorld) deliver(m *orderMachine, gone bool, order *modelOrder, told func(orderAnswer)) {
	retries := *ordersRetries
	m.start(gone, func(t *orderTask) {
		committer := &committer{replicas: &choiceReplicas{world: c, task: t}, state: &modelOrders{task: t},
			prepare: prepareModel, pause: func(context.Context, time.Duration) bool {
				retries--
				return retries >= 0 && !t.ended
			}}
		ctx := taskContext{context.Background(), t}
		var answer orderAnswer
		if order.zone != "" {
			answer = answerOf(0, committer.evacuate(ctx, order.zone, order.on))
		} else {
			answer = answerOf(committer.commit(ctx, order.request()))
		}
		if !t.ended {
			c.referee.answered(order, answer)
			told(answer)
		}
	})
}

// choiceReplicas are a machine's replicas.
type choiceReplicas struct {
	replica.Replicas
	world *choiceWorld
	task  *orderTask
}

// Barrier holds for what was agreed on before the call; a machine may know more by then.
func (r *choiceReplicas) Barrier(context.Context, feed.Partition) error {
	c, m := r.world, r.task.machine
	least := len(c.log)
	alive := r.task.block(func(resume func()) {
		c.offer("barrier", func() {
			index := max(least, m.applied)
			index += c.schedule.choose(len(c.log) - index + 1)
			m.apply(index)
			resume()
		})
	})
	if !alive {
		return errKilled
	}
	return nil
}

// Propose has a command agreed on, at any time after an unknown outcome was told.
func (r *choiceReplicas) Propose(_ context.Context, _ feed.Partition, command []byte) ([]byte, error) {
	c := r.world
	var result []byte
	alive := r.task.block(func(resume func()) {
		c.offer("propose", func() {
			if c.unknown > 0 && c.schedule.choose(2) == 1 {
				c.unknown--
				c.offer("agree late", func() { c.agreeOn(command) })
			} else {
				result = c.agreeOn(command)
				r.task.machine.apply(len(c.log)) // as the one that leads
			}
			resume()
		})
	})
	switch {
	case !alive:
		return nil, errKilled
	case result == nil:
		return nil, &replica.UnknownOutcomeError{}
	}
	return result, nil
}

// scriptOfChanges sends a change through both machines, and a rival with the same number on the same version.
func scriptOfChanges(c *choiceWorld) {
	first := &modelOrder{number: 1, version: 2, text: "first"}
	rival := &modelOrder{number: 2, version: 2, text: "rival"}
	for _, order := range []*modelOrder{first, rival} {
		c.referee.begin(1, order, "")
	}
	send := func(machine int, order *modelOrder) {
		c.offer("send", func() { c.deliver(c.machines[machine], false, order, func(orderAnswer) {}) })
	}
	send(0, first)
	send(1, first)
	send(1, rival)
}

// scriptOfEarlyChanges sends a change through both machines that builds on one which is not agreed on yet.
func scriptOfEarlyChanges(c *choiceWorld) {
	first := &modelOrder{number: 1, version: 2, text: "first"}
	later := &modelOrder{number: 2, basedOn: 2, version: 3, text: "later"}
	for _, order := range []*modelOrder{first, later} {
		c.referee.begin(1, order, "")
	}
	for machine, order := range []*modelOrder{first, later} {
		c.offer("send", func() { c.deliver(c.machines[machine], false, order, func(orderAnswer) {}) })
	}
	c.offer("send again", func() { c.deliver(c.machines[0], false, later, func(orderAnswer) {}) })
}

// scriptOfEvacuations sends an evacuation through both machines, and takes it back through one, whether there was an
// answer or not. Copies that come once their sender has given them up are known to be so.
func scriptOfEvacuations(c *choiceWorld) {
	begin := &modelOrder{number: 1, zone: "a", on: true}
	finish := &modelOrder{number: 2, zone: "a"}
	given := false
	hold := func(order *modelOrder) func(orderAnswer) {
		return func(answer orderAnswer) {
			if answer.status == http.StatusOK && !(given && order == begin) && !order.acknowledged {
				order.acknowledged = true
				c.referee.holds(order)
			}
		}
	}
	c.referee.begin(1, begin, "a")
	for machine := range 2 {
		c.offer("begin", func() { c.deliver(c.machines[machine], given, begin, hold(begin)) })
	}
	c.offer("finish", func() {
		given = true
		c.referee.begin(1, finish, "a")
		c.deliver(c.machines[0], false, finish, hold(finish))
	})
}

// TestAllOrdersOfEvents plays every order of events of small scripts with at most one outcome that is not known. With one
// retry of each copy, by -orders.retries 1, it takes minutes.
func TestAllOrdersOfEvents(t *testing.T) {
	scripts := map[string]func(*choiceWorld){
		"changes":       scriptOfChanges,
		"early changes": scriptOfEarlyChanges,
		"evacuations":   scriptOfEvacuations,
	}
	for name, script := range scripts {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			played, failed := playAll(script, orderPlant{})
			if failed != "" {
				t.Error(failed)
			}
			t.Logf("%d orders of events", played)
		})
	}
}

// unknownAtOnce is how many proposals of a script have an outcome that is not known.
const unknownAtOnce = 1

// playAll plays every order of events until one fails, and says what that was.
func playAll(script func(*choiceWorld), plant orderPlant) (played int, failed string) {
	for s := (&schedule{}); ; {
		c := newChoiceWorld(s, unknownAtOnce)
		c.plant = plant
		script(c)
		c.play()
		played++
		if c.failed != "" {
			return played, fmt.Sprintf("%s after %v (path %v)", c.failed, c.trace, s.path)
		}
		if !s.next() {
			return played, ""
		}
	}
}

// TestPlantsInAllOrdersOfEvents takes safeguards out, which has to be found.
func TestPlantsInAllOrdersOfEvents(t *testing.T) {
	tests := []struct {
		name   string
		script func(*choiceWorld)
		plant  orderPlant
	}{
		{"bases are not checked as changes are applied", scriptOfChanges, orderPlant{baseUnchecked: true}},
		{"a request that comes again is a new one", scriptOfChanges, orderPlant{requestUnknown: true}},
		{"what builds on a later version is refused", scriptOfEarlyChanges, orderPlant{refusesEarly: true}},
		{"evacuations are applied whatever came first", scriptOfEvacuations, orderPlant{seenUnchecked: true}},
		{"evacuations that were overtaken are repeated", scriptOfEvacuations, orderPlant{overtakenAgain: true}},
		{"callers that have gone are served", scriptOfEvacuations, orderPlant{goneIgnored: true}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			played, failed := playAll(test.script, test.plant)
			if failed == "" {
				t.Errorf("not found in %d orders of events", played)
			}
			t.Logf("%d orders of events: %s", played, failed)
		})
	}
}
