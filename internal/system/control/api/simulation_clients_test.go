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
	callTimeout           = time.Second // after which a client gives up a delivery
	maxEvacuationPatience = 5 * time.Second
	maxRequestsPerClient  = 120
	maxOpenCalls          = 2 // of a configuration client, besides further copies of the last request
)

// modelRequest is a request with what its sender knows of it.
type modelRequest struct {
	number       int
	zone         string // of an evacuation; empty for a change of the configuration
	evacuate     bool
	basedOn      uint64
	version      uint64
	text         string // several requests may share it
	invalid      bool
	acknowledged bool // to its sender
	rejected     bool
}

func (o *modelRequest) String() string {
	if o.zone != "" {
		return fmt.Sprintf("request %d (evacuation of %s: %t)", o.number, o.zone, o.evacuate)
	}
	return fmt.Sprintf("request %d (%d on %d, %q)", o.number, o.version, o.basedOn, o.text)
}

// changeRequest returns the change as the API receives it.
func (o *modelRequest) changeRequest() *changeRequest {
	body := strconv.FormatUint(o.version, 10) + " " + o.text
	if o.invalid {
		body += " invalid"
	}
	return &changeRequest{kind: kindReplace, basedOn: o.basedOn, body: []byte(body)}
}

// ownerKey is the item with the body of the change that brought the version in force.
const ownerKey = "owner"

// prepareModelChange parses the bodies that modelRequest.changeRequest writes; it replaces documentCache.
func prepareModelChange(request *changeRequest, base *state.View) (preparedChange, error) {
	var invalid validation.Problems
	version, text, _ := bytes.Cut(request.body, []byte(" "))
	number, err := strconv.ParseUint(string(version), 10, 64)
	if err != nil || number <= base.Version || bytes.HasSuffix(text, []byte(" invalid")) {
		invalid.Add("", "is invalid")
		return preparedChange{}, invalid.Err()
	}
	return preparedChange{version: number, writes: []state.Write{{Key: ownerKey, Value: request.body}}}, nil
}

// modelResponse is what a client receives; the zero value stands for none.
type modelResponse struct {
	status    int
	version   uint64
	text      string // of the version that was read
	evacuated bool   // whether the zone that was read is evacuated
}

// isDefinite reports whether the response says what became of a request.
func (a modelResponse) isDefinite() bool {
	return a.status == http.StatusOK || a.status >= 400 && a.status < 500
}

func responseOf(version uint64, err error) modelResponse {
	var apiErr *apiError
	switch {
	case err == nil:
		return modelResponse{status: http.StatusOK, version: version}
	case errors.As(err, &apiErr):
		return modelResponse{status: apiErr.status}
	}
	return modelResponse{status: http.StatusServiceUnavailable}
}

// delivery is one copy of a request, or a read, on its way.
type delivery struct {
	sim       *simulation
	cancelled bool
	task      *handlerTask
}

// cancel closes the sender's end. The node learns of it unless that message is lost.
func (d *delivery) cancel() {
	d.cancelled = true
	sim := d.sim
	if d.task != nil && !(sim.faultsActive && sim.chance(0.3)) {
		sim.after(sim.networkDelay(), func() { d.task.cancelled = true })
	}
}

// send delivers a call to a random node and its response back, unless either is lost. A response that arrives after
// callTimeout is dropped.
func (sim *simulation) send(client int, request *modelRequest, zone string, handle func(t *handlerTask) modelResponse,
	onResponse func(modelResponse)) *delivery {
	sent := &delivery{sim: sim}
	op := sim.checker.beginOperation(client, request, zone)
	end := func(response modelResponse) {
		if !sent.cancelled {
			op.complete(response, sim.now)
			sent.cancel()
			onResponse(response)
		}
	}
	sim.after(callTimeout, func() { end(modelResponse{}) })
	node := sim.nodes[sim.random.IntN(len(sim.nodes))]
	sim.after(sim.networkDelay(), func() {
		if !node.up {
			sim.after(sim.networkDelay(), func() { end(modelResponse{}) })
			return
		}
		node.whenRunning(func() {
			sent.task = node.runHandler(sent.cancelled, func(t *handlerTask) {
				response := handle(t)
				if t.ended {
					return
				}
				if request != nil {
					sim.logf("node %d responds to %v: %d", node.number, request, response.status)
					sim.checker.handleResponse(request, response)
				}
				if !(sim.faultsActive && sim.chance(sim.profile.LostRatio)) {
					sim.after(sim.networkDelay(), func() { end(response) })
				}
			})
		})
	})
	return sent
}

func (sim *simulation) sendChange(client int, request *modelRequest, onResponse func(modelResponse)) *delivery {
	return sim.send(client, request, "", func(t *handlerTask) modelResponse {
		ctx := taskContext{context.Background(), t}
		return responseOf(t.committer().commit(ctx, request.changeRequest()))
	}, onResponse)
}

func (sim *simulation) sendEvacuation(client int, request *modelRequest, onResponse func(modelResponse)) *delivery {
	return sim.send(client, request, request.zone, func(t *handlerTask) modelResponse {
		ctx := taskContext{context.Background(), t}
		return responseOf(0, t.committer().setEvacuation(ctx, request.zone, request.evacuate))
	}, onResponse)
}

// sendRead reads the configuration, or the zone if one is named.
func (sim *simulation) sendRead(client int, zone string, onResponse func(modelResponse)) {
	sim.send(client, nil, zone, func(t *handlerTask) modelResponse {
		ctx := taskContext{context.Background(), t}
		if t.committer().replicas.Barrier(ctx, 0) != nil {
			return modelResponse{}
		}
		base := t.node.state.View()
		response := modelResponse{status: http.StatusOK, version: base.Version, evacuated: t.node.state.Evacuation(zone).Evacuated}
		for _, value := range base.Values.WithPrefix(ownerKey) {
			response.text = string(value)
		}
		return response
	}, onResponse)
}

// simulatedClient sends requests until finish, and afterwards repeats them until each has a definite response.
type simulatedClient interface {
	finish()
	done() bool
}

// configurationClient reads and sends changes, concurrent with those of others, and repeats them.
type configurationClient struct {
	sim       *simulation
	id        int
	version   uint64 // newest that it has seen
	requests  []*modelRequest
	openCalls int // deliveries and reads in flight
	finishing bool
}

func (sim *simulation) addConfigurationClient(number int) {
	c := &configurationClient{sim: sim, id: number}
	sim.clients = append(sim.clients, c)
	sim.after(sim.durationBetween(0, time.Second), c.act)
}

func (c *configurationClient) finish() {
	c.finishing = true
	for _, request := range c.requests {
		request.acknowledged, request.rejected = false, false // each is sent again
	}
}

// unresolved returns the requests that have no definite response and can get one.
func (c *configurationClient) unresolved() (requests []*modelRequest) {
	for _, request := range c.requests {
		if !request.acknowledged && !request.rejected && !c.sim.checker.unanswerable(request) {
			requests = append(requests, request)
		}
	}
	return requests
}

func (c *configurationClient) done() bool { return len(c.unresolved()) == 0 }

func (c *configurationClient) act() {
	sim := c.sim
	sim.after(sim.durationBetween(sim.profile.ThinkTime/4, sim.profile.ThinkTime), c.act)
	if c.openCalls >= maxOpenCalls {
		return
	}
	unresolved := c.unresolved()
	switch {
	case c.finishing && len(unresolved) > 0:
		c.send(unresolved[sim.random.IntN(len(unresolved))])
	case c.finishing || len(c.requests) >= maxRequestsPerClient:
	case len(unresolved) > 0 && sim.chance(0.4):
		c.send(unresolved[sim.random.IntN(len(unresolved))])
	case len(c.requests) > 0 && sim.chance(0.2):
		c.send(c.requests[sim.random.IntN(len(c.requests))])
	case sim.chance(0.3):
		c.openCalls++
		sim.sendRead(c.id, "", func(response modelResponse) {
			c.openCalls--
			c.version = max(c.version, response.version)
		})
	default:
		c.send(c.newChange())
	}
}

// newChange returns a new change: on the version that the client knows or on another one, with a text and number of its
// own or with those of another request.
func (c *configurationClient) newChange() *modelRequest {
	sim := c.sim
	request := sim.checker.newRequest()
	request.basedOn = c.version
	switch {
	case sim.chance(0.1):
		request.basedOn += uint64(sim.random.IntN(4))
	case sim.chance(0.1):
		request.basedOn -= min(request.basedOn, uint64(sim.random.IntN(4)))
	case sim.chance(0.1) && len(c.requests) > 0: // on one whose outcome may be unknown
		request.basedOn = c.requests[len(c.requests)-1].version
	}
	request.version = request.basedOn + 1 + uint64(sim.random.IntN(2))
	request.text = strconv.Itoa(request.number)
	if len(c.requests) > 0 && sim.chance(0.1) {
		request.text = c.requests[sim.random.IntN(len(c.requests))].text
	}
	request.invalid = sim.chance(0.1)
	c.requests = append(c.requests, request)
	return request
}

// send delivers a request to one node, or to several at once.
func (c *configurationClient) send(request *modelRequest) {
	for range 1 + c.sim.random.IntN(5)/4 {
		c.openCalls++
		c.sim.sendChange(c.id, request, func(response modelResponse) { c.handleResponse(request, response) })
	}
}

func (c *configurationClient) handleResponse(request *modelRequest, response modelResponse) {
	c.openCalls--
	c.version = max(c.version, response.version)
	switch {
	case response.status == http.StatusOK:
		request.acknowledged = true
	case response.status >= 400 && response.status < 500:
		request.rejected = true
	}
}

// evacuationClient is the only one to send requests about its zone: one after the other, each repeated until it is
// acknowledged or given up. What was acknowledged has to hold until it sends something else.
type evacuationClient struct {
	sim          *simulation
	zone         string
	current      *modelRequest // nil: none yet
	deliveries   []*delivery
	requestCount int
	finishing    bool
}

func (sim *simulation) addEvacuationClient(zone string) {
	c := &evacuationClient{sim: sim, zone: zone}
	sim.clients = append(sim.clients, c)
	sim.after(sim.durationBetween(0, time.Second), c.nextRequest)
	sim.after(sim.durationBetween(0, time.Second), c.poll)
}

// id identifies the client in the history.
func (c *evacuationClient) id() int { return 100 + int(c.zone[0]) }

func (c *evacuationClient) finish() { c.finishing = true }

func (c *evacuationClient) done() bool { return c.current != nil && c.current.acknowledged }

// poll reads the zone's state at intervals.
func (c *evacuationClient) poll() {
	c.sim.after(c.sim.durationBetween(100*time.Millisecond, time.Second), c.poll)
	c.sim.sendRead(c.id(), c.zone, func(modelResponse) {})
}

// nextRequest sends the contrary of the previous request, or sometimes the same again.
func (c *evacuationClient) nextRequest() {
	sim := c.sim
	if c.requestCount >= maxRequestsPerClient {
		return
	}
	c.requestCount++
	request := sim.checker.newRequest()
	request.zone = c.zone
	request.evacuate = c.current == nil || !c.current.evacuate
	if sim.chance(0.2) {
		request.evacuate = !request.evacuate
	}
	c.current = request
	c.cancelDeliveries()
	c.send(request)
	timeout := sim.durationBetween(callTimeout/2, maxEvacuationPatience)
	sim.after(timeout, func() {
		if c.current == request && !request.acknowledged && !c.finishing {
			sim.logf("%v is given up", request)
			c.nextRequest()
		}
	})
}

// cancelDeliveries closes all open calls.
func (c *evacuationClient) cancelDeliveries() {
	for _, delivery := range c.deliveries {
		if !delivery.cancelled {
			delivery.cancel()
		}
	}
	c.deliveries = nil
}

// send delivers the request to one node or to two at once, and again until it is acknowledged.
func (c *evacuationClient) send(request *modelRequest) {
	sim := c.sim
	if c.current != request || request.acknowledged {
		return
	}
	for range 1 + sim.random.IntN(5)/4 {
		delivery := sim.sendEvacuation(c.id(), request, func(response modelResponse) { c.handleResponse(request, response) })
		c.deliveries = append(c.deliveries, delivery)
	}
	sim.after(sim.durationBetween(callTimeout/4, callTimeout), func() { c.send(request) })
}

func (c *evacuationClient) handleResponse(request *modelRequest, response modelResponse) {
	if response.status != http.StatusOK || request.acknowledged || c.current != request {
		return
	}
	request.acknowledged = true
	c.cancelDeliveries()
	c.sim.checker.handleAcknowledgedEvacuation(request)
	if !c.finishing {
		c.sim.after(c.sim.durationBetween(0, 2*c.sim.profile.ThinkTime), c.nextRequest)
	}
}
