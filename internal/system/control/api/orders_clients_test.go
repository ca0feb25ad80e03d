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
	callTimeout           = time.Second // without an answer, after which a copy is given up
	maxEvacuationPatience = 5 * time.Second
	maxRequestsPerClient  = 120 // that a client makes up
	maxOpenCalls          = 2   // calls of a client at once, beside a copy of the last one
)

// modelRequest is an order as its sender knows it.
type modelRequest struct {
	number       int
	zone         string // of an evacuation; empty: it is a configuration
	on           bool
	basedOn      uint64
	version      uint64
	text         string // two orders may share it
	invalid      bool
	acknowledged bool // its sender was told
	rejected     bool
}

func (o *modelRequest) String() string {
	if o.zone != "" {
		return fmt.Sprintf("order %d (evacuation of %s: %t)", o.number, o.zone, o.on)
	}
	return fmt.Sprintf("order %d (%d on %d, %q)", o.number, o.version, o.basedOn, o.text)
}

// changeRequest is the configuration order as it is sent.
func (o *modelRequest) changeRequest() *changeRequest {
	body := strconv.FormatUint(o.version, 10) + " " + o.text
	if o.invalid {
		body += " invalid"
	}
	return &changeRequest{kind: kindReplace, basedOn: o.basedOn, body: []byte(body)}
}

// ownerKey holds the text of the change that brought the version in force.
const ownerKey = "owner"

// prepareModelChange reads what modelRequest.request wrote.
func prepareModelChange(request *changeRequest, base *state.Base) (preparedChange, error) {
	var invalid validation.Problems
	version, text, _ := bytes.Cut(request.body, []byte(" "))
	number, err := strconv.ParseUint(string(version), 10, 64)
	if err != nil || number <= base.Version || bytes.HasSuffix(text, []byte(" invalid")) {
		invalid.Add("", "is invalid")
		return preparedChange{}, invalid.Err()
	}
	return preparedChange{version: number, writes: []state.Write{{Key: ownerKey, Value: request.body}}}, nil
}

// modelResponse is what a sender is told; the zero one: nothing.
type modelResponse struct {
	status  int
	version uint64
	text    string // of the version read
	on      bool   // of the zone read
}

// isDefinite tells whether the answer says what became of an order.
func (a modelResponse) isDefinite() bool {
	return a.status == http.StatusOK || a.status >= 400 && a.status < 500
}

func responseOf(version uint64, err error) modelResponse {
	var refused *apiError
	switch {
	case err == nil:
		return modelResponse{status: http.StatusOK, version: version}
	case errors.As(err, &refused):
		return modelResponse{status: refused.status}
	}
	return modelResponse{status: http.StatusServiceUnavailable}
}

// delivery is an order, or a read, sent once.
type delivery struct {
	sim       *simulation
	cancelled bool // by its sender
	task      *handlerTask
}

// cancel is the sender's end. The machine learns of it, unless the way there is cut.
func (c *delivery) cancel() {
	c.cancelled = true
	w := c.sim
	if c.task != nil && !(w.faultsActive && w.chance(0.3)) {
		w.after(w.networkDelay(), func() { c.task.cancelled = true })
	}
}

// send brings something to a machine and its answer back, unless one is lost. An answer that comes later than the sender
// waits for is not told.
func (w *simulation) send(client int, order *modelRequest, zone string, handle func(t *handlerTask) modelResponse,
	onResponse func(modelResponse)) *delivery {
	c := &delivery{sim: w}
	op := w.checker.beginOperation(client, order, zone)
	end := func(answer modelResponse) {
		if !c.cancelled {
			op.complete(answer, w.now)
			c.cancel()
			onResponse(answer)
		}
	}
	w.after(callTimeout, func() { end(modelResponse{}) })
	m := w.nodes[w.random.IntN(len(w.nodes))]
	w.after(w.networkDelay(), func() {
		if !m.up {
			w.after(w.networkDelay(), func() { end(modelResponse{}) })
			return
		}
		m.whenRunning(func() {
			c.task = m.runHandler(c.cancelled, func(t *handlerTask) {
				answer := handle(t)
				if t.ended {
					return
				}
				if order != nil {
					w.logf("%d answers %v: %d", m.number, order, answer.status)
					w.checker.handleResponse(order, answer)
				}
				if !(w.faultsActive && w.chance(w.profile.LostRatio)) {
					w.after(w.networkDelay(), func() { end(answer) })
				}
			})
		})
	})
	return c
}

func (w *simulation) sendChange(client int, order *modelRequest, onResponse func(modelResponse)) *delivery {
	return w.send(client, order, "", func(t *handlerTask) modelResponse {
		ctx := taskContext{context.Background(), t}
		return responseOf(t.committer().commit(ctx, order.changeRequest()))
	}, onResponse)
}

func (w *simulation) sendEvacuation(client int, order *modelRequest, onResponse func(modelResponse)) *delivery {
	return w.send(client, order, order.zone, func(t *handlerTask) modelResponse {
		ctx := taskContext{context.Background(), t}
		return responseOf(0, t.committer().setEvacuation(ctx, order.zone, order.on))
	}, onResponse)
}

// sendRead reads the configuration, or where a zone is named, whether it is evacuated.
func (w *simulation) sendRead(client int, zone string, onResponse func(modelResponse)) {
	w.send(client, nil, zone, func(t *handlerTask) modelResponse {
		ctx := taskContext{context.Background(), t}
		if t.committer().replicas.Barrier(ctx, 0) != nil {
			return modelResponse{}
		}
		base := t.node.state.Base()
		answer := modelResponse{status: http.StatusOK, version: base.Version, on: t.node.state.Evacuation(zone).On}
		for _, value := range base.Values.All(ownerKey) {
			answer.text = string(value)
		}
		return answer
	}, onResponse)
}

// simulatedClient sends orders until it is told to finish, and then finds out what became of them.
type simulatedClient interface {
	finish()
	done() bool
}

// configurationClient makes changes up, races the others, sends changes again and reads.
type configurationClient struct {
	sim       *simulation
	id        int
	version   uint64 // newest that it knows
	requests  []*modelRequest
	openCalls int // copies and reads that wait for an answer
	finishing bool
}

func (w *simulation) addConfigurationClient(number int) {
	c := &configurationClient{sim: w, id: number}
	w.clients = append(w.clients, c)
	w.after(w.durationBetween(0, time.Second), c.act)
}

func (c *configurationClient) finish() {
	c.finishing = true
	for _, order := range c.requests {
		order.acknowledged, order.rejected = false, false // each is sent once more
	}
}

// unresolved are the orders that have no answer and can get one.
func (c *configurationClient) unresolved() (orders []*modelRequest) {
	for _, order := range c.requests {
		if !order.acknowledged && !order.rejected && !c.sim.checker.unanswerable(order) {
			orders = append(orders, order)
		}
	}
	return orders
}

func (c *configurationClient) done() bool { return len(c.unresolved()) == 0 }

func (c *configurationClient) act() {
	w := c.sim
	w.after(w.durationBetween(w.profile.ThinkTime/4, w.profile.ThinkTime), c.act)
	if c.openCalls >= maxOpenCalls {
		return
	}
	unclear := c.unresolved()
	switch {
	case c.finishing && len(unclear) > 0:
		c.send(unclear[w.random.IntN(len(unclear))])
	case c.finishing || len(c.requests) >= maxRequestsPerClient:
	case len(unclear) > 0 && w.chance(0.4):
		c.send(unclear[w.random.IntN(len(unclear))])
	case len(c.requests) > 0 && w.chance(0.2):
		c.send(c.requests[w.random.IntN(len(c.requests))])
	case w.chance(0.3):
		c.openCalls++
		w.sendRead(c.id, "", func(answer modelResponse) {
			c.openCalls--
			c.version = max(c.version, answer.version)
		})
	default:
		c.send(c.newChange())
	}
}

// newChange is a new change: on the version that the client knows, or on another; with a text and number of its own, or with
// those of another order.
func (c *configurationClient) newChange() *modelRequest {
	w := c.sim
	order := w.checker.newRequest()
	order.basedOn = c.version
	switch {
	case w.chance(0.1):
		order.basedOn += uint64(w.random.IntN(4))
	case w.chance(0.1):
		order.basedOn -= min(order.basedOn, uint64(w.random.IntN(4)))
	case w.chance(0.1) && len(c.requests) > 0: // on one whose outcome may not be known
		order.basedOn = c.requests[len(c.requests)-1].version
	}
	order.version = order.basedOn + 1 + uint64(w.random.IntN(2))
	order.text = strconv.Itoa(order.number)
	if len(c.requests) > 0 && w.chance(0.1) {
		order.text = c.requests[w.random.IntN(len(c.requests))].text
	}
	order.invalid = w.chance(0.1)
	c.requests = append(c.requests, order)
	return order
}

// send sends an order to one machine, or to several at once.
func (c *configurationClient) send(order *modelRequest) {
	for range 1 + c.sim.random.IntN(5)/4 {
		c.openCalls++
		c.sim.sendChange(c.id, order, func(answer modelResponse) { c.handleResponse(order, answer) })
	}
}

func (c *configurationClient) handleResponse(order *modelRequest, answer modelResponse) {
	c.openCalls--
	c.version = max(c.version, answer.version)
	switch {
	case answer.status == http.StatusOK:
		order.acknowledged = true
	case answer.status >= 400 && answer.status < 500:
		order.rejected = true
	}
}

// evacuationClient is the only one to order about its zone: one thing after the other, each sent again until it is
// acknowledged or given up. What was acknowledged has to hold until it orders something else.
type evacuationClient struct {
	sim          *simulation
	zone         string
	current      *modelRequest // the present one; nil: none yet
	deliveries   []*delivery
	requestCount int
	finishing    bool
}

func (w *simulation) addEvacuationClient(zone string) {
	c := &evacuationClient{sim: w, zone: zone}
	w.clients = append(w.clients, c)
	w.after(w.durationBetween(0, time.Second), c.nextRequest)
	w.after(w.durationBetween(0, time.Second), c.poll)
}

// id tells the client in the history.
func (c *evacuationClient) id() int { return 100 + int(c.zone[0]) }

func (c *evacuationClient) finish() { c.finishing = true }

func (c *evacuationClient) done() bool { return c.current != nil && c.current.acknowledged }

// poll reads whether the zone is evacuated.
func (c *evacuationClient) poll() {
	c.sim.after(c.sim.durationBetween(100*time.Millisecond, time.Second), c.poll)
	c.sim.sendRead(c.id(), c.zone, func(modelResponse) {})
}

// nextRequest orders the contrary of what was ordered last, or at times the same again.
func (c *evacuationClient) nextRequest() {
	w := c.sim
	if c.requestCount >= maxRequestsPerClient {
		return
	}
	c.requestCount++
	order := w.checker.newRequest()
	order.zone, order.on = c.zone, c.current == nil || !c.current.on
	if w.chance(0.2) {
		order.on = !order.on
	}
	c.current = order
	c.cancelDeliveries()
	c.send(order)
	patience := w.durationBetween(callTimeout/2, maxEvacuationPatience)
	w.after(patience, func() {
		if c.current == order && !order.acknowledged && !c.finishing {
			w.logf("%v is given up", order)
			c.nextRequest()
		}
	})
}

// cancelDeliveries closes what is open.
func (c *evacuationClient) cancelDeliveries() {
	for _, open := range c.deliveries {
		if !open.cancelled {
			open.cancel()
		}
	}
	c.deliveries = nil
}

// send sends the order to one machine or to two at once, and again until it is acknowledged.
func (c *evacuationClient) send(order *modelRequest) {
	w := c.sim
	if c.current != order || order.acknowledged {
		return
	}
	for range 1 + w.random.IntN(5)/4 {
		c.deliveries = append(c.deliveries, w.sendEvacuation(c.id(), order, func(answer modelResponse) { c.handleResponse(order, answer) }))
	}
	w.after(w.durationBetween(callTimeout/4, callTimeout), func() { c.send(order) })
}

func (c *evacuationClient) handleResponse(order *modelRequest, answer modelResponse) {
	if answer.status != http.StatusOK || order.acknowledged || c.current != order {
		return
	}
	order.acknowledged = true
	c.cancelDeliveries()
	c.sim.checker.handleAcknowledgedEvacuation(order)
	if !c.finishing {
		c.sim.after(c.sim.durationBetween(0, 2*c.sim.profile.ThinkTime), c.nextRequest)
	}
}
