package api

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"cinderroad/internal/system/control/state"
	"cinderroad/internal/system/validation"
)

const (
	silenceMost  = time.Second // without an answer, after which a copy is given up
	evacuateFor  = 5 * time.Second
	ordersAtMost = 120 // that a client makes up
	mostOpen     = 2   // calls of a client at once, beside a copy of the last one
)

// modelOrder is an order as its sender knows it.
type modelOrder struct {
	number       int
	zone         string // of an evacuation; empty: it is a configuration
	on           bool
	basedOn      uint64
	version      uint64
	text         string // two orders may share it
	invalid      bool
	acknowledged bool // its sender was told
	refused      bool
}

func (o *modelOrder) String() string {
	if o.zone != "" {
		return fmt.Sprintf("order %d (evacuation of %s: %t)", o.number, o.zone, o.on)
	}
	return fmt.Sprintf("order %d (%d on %d, %q)", o.number, o.version, o.basedOn, o.text)
}

// request is the configuration order as it is sent.
func (o *modelOrder) request() *request {
	body := strconv.FormatUint(o.version, 10) + " " + o.text
	if o.invalid {
		body += " invalid"
	}
	return &request{kind: replaceWhole, basedOn: o.basedOn, body: []byte(body)}
}

// ownerKey holds the text of the change that brought the version in force.
const ownerKey = "owner"

// prepareModel reads what modelOrder.request wrote.
func prepareModel(request *request, base *state.Base) (change, error) {
	var invalid validation.Problems
	version, text, _ := bytes.Cut(request.body, []byte(" "))
	number, err := strconv.ParseUint(string(version), 10, 64)
	if err != nil || number <= base.Version || bytes.HasSuffix(text, []byte(" invalid")) {
		invalid.Add("", "is invalid")
		return change{}, invalid.Err()
	}
	return change{version: number, writes: []state.Write{{Key: ownerKey, Value: request.body}}}, nil
}

// orderAnswer is what a sender is told; the zero one: nothing.
type orderAnswer struct {
	status  int
	version uint64
	text    string // of the version read
	on      bool   // of the zone read
}

// clear tells whether the answer says what became of an order.
func (a orderAnswer) clear() bool {
	return a.status == http.StatusOK || a.status >= 400 && a.status < 500
}

func answerOf(version uint64, err error) orderAnswer {
	var refused *refusal
	switch {
	case err == nil:
		return orderAnswer{status: http.StatusOK, version: version}
	case errors.As(err, &refused):
		return orderAnswer{status: refused.status}
	}
	return orderAnswer{status: http.StatusServiceUnavailable}
}

// orderCopy is an order, or a read, sent once.
type orderCopy struct {
	world  *orderWorld
	closed bool // by its sender
	task   *orderTask
}

// close is the sender's end. The machine learns of it, unless the way there is cut.
func (c *orderCopy) close() {
	c.closed = true
	w := c.world
	if c.task != nil && !(w.faults && w.chance(0.3)) {
		w.after(w.transit(), func() { c.task.gone = true })
	}
}

// send brings something to a machine and its answer back, unless one is lost. An answer that comes later than the sender
// waits for is not told.
func (w *orderWorld) send(client int, order *modelOrder, zone string, handle func(t *orderTask) orderAnswer,
	told func(orderAnswer)) *orderCopy {
	c := &orderCopy{world: w}
	op := w.referee.begin(client, order, zone)
	end := func(answer orderAnswer) {
		if !c.closed {
			op.end(answer, w.now)
			c.close()
			told(answer)
		}
	}
	w.after(silenceMost, func() { end(orderAnswer{}) })
	m := w.machines[w.random.IntN(len(w.machines))]
	w.after(w.transit(), func() {
		if !m.up {
			w.after(w.transit(), func() { end(orderAnswer{}) })
			return
		}
		m.whenAwake(func() {
			c.task = m.start(c.closed, func(t *orderTask) {
				answer := handle(t)
				if t.ended {
					return
				}
				if order != nil {
					w.logf("%d answers %v: %d", m.number, order, answer.status)
					w.referee.answered(order, answer)
				}
				if !(w.faults && w.chance(w.profile.Lost)) {
					w.after(w.transit(), func() { end(answer) })
				}
			})
		})
	})
	return c
}

func (w *orderWorld) sendChange(client int, order *modelOrder, told func(orderAnswer)) *orderCopy {
	return w.send(client, order, "", func(t *orderTask) orderAnswer {
		ctx := taskContext{context.Background(), t}
		return answerOf(t.committer().commit(ctx, order.request()))
	}, told)
}

func (w *orderWorld) sendEvacuation(client int, order *modelOrder, told func(orderAnswer)) *orderCopy {
	return w.send(client, order, order.zone, func(t *orderTask) orderAnswer {
		ctx := taskContext{context.Background(), t}
		return answerOf(0, t.committer().evacuate(ctx, order.zone, order.on))
	}, told)
}

// sendRead reads the configuration, or where a zone is named, whether it is evacuated.
func (w *orderWorld) sendRead(client int, zone string, told func(orderAnswer)) {
	w.send(client, nil, zone, func(t *orderTask) orderAnswer {
		ctx := taskContext{context.Background(), t}
		if t.committer().replicas.Barrier(ctx, 0) != nil {
			return orderAnswer{}
		}
		base := t.machine.state.Base()
		answer := orderAnswer{status: http.StatusOK, version: base.Version, on: t.machine.state.Evacuation(zone).On}
		for _, value := range base.Values.All(ownerKey) {
			answer.text = string(value)
		}
		return answer
	}, told)
}

// orderClient sends orders until it is told to finish, and then finds out what became of them.
type orderClient interface {
	finish()
	done() bool
}

// configurationClient makes changes up, races the others, sends changes again and reads.
type configurationClient struct {
	world   *orderWorld
	number  int
	version uint64 // newest that it knows
	orders  []*modelOrder
	open    int // copies and reads that wait for an answer
	ending  bool
}

func (w *orderWorld) addConfigurationClient(number int) {
	c := &configurationClient{world: w, number: number}
	w.clients = append(w.clients, c)
	w.after(w.between(0, time.Second), c.act)
}

func (c *configurationClient) finish() {
	c.ending = true
	for _, order := range c.orders {
		order.acknowledged, order.refused = false, false // each is sent once more
	}
}

// unclear are the orders that have no answer and can get one.
func (c *configurationClient) unclear() (orders []*modelOrder) {
	for _, order := range c.orders {
		if !order.acknowledged && !order.refused && !c.world.referee.unanswerable(order) {
			orders = append(orders, order)
		}
	}
	return orders
}

func (c *configurationClient) done() bool { return len(c.unclear()) == 0 }

func (c *configurationClient) act() {
	w := c.world
	w.after(w.between(w.profile.Think/4, w.profile.Think), c.act)
	if c.open >= mostOpen {
		return
	}
	unclear := c.unclear()
	switch {
	case c.ending && len(unclear) > 0:
		c.send(unclear[w.random.IntN(len(unclear))])
	case c.ending || len(c.orders) >= ordersAtMost:
	case len(unclear) > 0 && w.chance(0.4):
		c.send(unclear[w.random.IntN(len(unclear))])
	case len(c.orders) > 0 && w.chance(0.2):
		c.send(c.orders[w.random.IntN(len(c.orders))])
	case w.chance(0.3):
		c.open++
		w.sendRead(c.number, "", func(answer orderAnswer) {
			c.open--
			c.version = max(c.version, answer.version)
		})
	default:
		c.send(c.change())
	}
}

// change is a new change: on the version that the client knows, or on another; with a text and number of its own, or with
// those of another order.
func (c *configurationClient) change() *modelOrder {
	w := c.world
	order := w.referee.newOrder()
	order.basedOn = c.version
	switch {
	case w.chance(0.1):
		order.basedOn += uint64(w.random.IntN(4))
	case w.chance(0.1):
		order.basedOn -= min(order.basedOn, uint64(w.random.IntN(4)))
	case w.chance(0.1) && len(c.orders) > 0: // on one whose outcome may not be known
		order.basedOn = c.orders[len(c.orders)-1].version
	}
	order.version = order.basedOn + 1 + uint64(w.random.IntN(2))
	order.text = strconv.Itoa(order.number)
	if len(c.orders) > 0 && w.chance(0.1) {
		order.text = c.orders[w.random.IntN(len(c.orders))].text
	}
	order.invalid = w.chance(0.1)
	c.orders = append(c.orders, order)
	return order
}

// send sends an order to one machine, or to several at once.
func (c *configurationClient) send(order *modelOrder) {
	for range 1 + c.world.random.IntN(5)/4 {
		c.open++
		c.world.sendChange(c.number, order, func(answer orderAnswer) { c.told(order, answer) })
	}
}

func (c *configurationClient) told(order *modelOrder, answer orderAnswer) {
	c.open--
	c.version = max(c.version, answer.version)
	switch {
	case answer.status == http.StatusOK:
		order.acknowledged = true
	case answer.status >= 400 && answer.status < 500:
		order.refused = true
	}
}

// evacuationClient is the only one to order about its zone: one thing after the other, each sent again until it is
// acknowledged or given up. What was acknowledged has to hold until it orders something else.
type evacuationClient struct {
	world   *orderWorld
	zone    string
	order   *modelOrder // the present one; nil: none yet
	copies  []*orderCopy
	ordered int
	ending  bool
}

func (w *orderWorld) addEvacuationClient(zone string) {
	c := &evacuationClient{world: w, zone: zone}
	w.clients = append(w.clients, c)
	w.after(w.between(0, time.Second), c.begin)
	w.after(w.between(0, time.Second), c.look)
}

// number tells the client in the history.
func (c *evacuationClient) number() int { return 100 + int(c.zone[0]) }

func (c *evacuationClient) finish() { c.ending = true }

func (c *evacuationClient) done() bool { return c.order != nil && c.order.acknowledged }

// look reads whether the zone is evacuated.
func (c *evacuationClient) look() {
	c.world.after(c.world.between(100*time.Millisecond, time.Second), c.look)
	c.world.sendRead(c.number(), c.zone, func(orderAnswer) {})
}

// begin orders the contrary of what was ordered last, or at times the same again.
func (c *evacuationClient) begin() {
	w := c.world
	if c.ordered >= ordersAtMost {
		return
	}
	c.ordered++
	order := w.referee.newOrder()
	order.zone, order.on = c.zone, c.order == nil || !c.order.on
	if w.chance(0.2) {
		order.on = !order.on
	}
	c.order = order
	c.giveUp()
	c.send(order)
	patience := w.between(silenceMost/2, evacuateFor)
	w.after(patience, func() {
		if c.order == order && !order.acknowledged && !c.ending {
			w.logf("%v is given up", order)
			c.begin()
		}
	})
}

// giveUp closes what is open.
func (c *evacuationClient) giveUp() {
	for _, open := range c.copies {
		if !open.closed {
			open.close()
		}
	}
	c.copies = nil
}

// send sends the order to one machine or to two at once, and again until it is acknowledged.
func (c *evacuationClient) send(order *modelOrder) {
	w := c.world
	if c.order != order || order.acknowledged {
		return
	}
	for range 1 + w.random.IntN(5)/4 {
		c.copies = append(c.copies, w.sendEvacuation(c.number(), order, func(answer orderAnswer) { c.told(order, answer) }))
	}
	w.after(w.between(silenceMost/4, silenceMost), func() { c.send(order) })
}

func (c *evacuationClient) told(order *modelOrder, answer orderAnswer) {
	if answer.status != http.StatusOK || order.acknowledged || c.order != order {
		return
	}
	order.acknowledged = true
	c.giveUp()
	c.world.referee.holds(order)
	if !c.ending {
		c.world.after(c.world.between(0, 2*c.world.profile.Think), c.begin)
	}
}
