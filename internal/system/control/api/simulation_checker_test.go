package api

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"

	"cinderroad/internal/system/control/state"
)

const linearizabilityTimeout = 30 * time.Second

var simulatedZones = []string{"a", "b"}

// acceptedChange is a change that was put in force.
type acceptedChange struct {
	basedOn, version uint64
	body             string
	request          *modelRequest
}

// checker knows everything that is sent, agreed on and answered, and the rules.
type checker struct {
	sim                     *simulation
	requestCount            int
	state                   *state.Configuration // of all that was agreed on
	history                 []acceptedChange
	evacuated               map[string]bool
	acknowledgedEvacuations map[string]*modelRequest // evacuations that were acknowledged last and are not ordered otherwise yet
	operations              []*operation
	counts                  eventCounts
}

// eventCounts are what happened.
type eventCounts struct {
	accepted, acknowledged, conflicts, invalid, indefinite, reacknowledged, evacuations, superseded, committed int
}

func newChecker(sim *simulation) *checker {
	return &checker{sim: sim, state: state.NewConfiguration(func() time.Duration { return sim.now }, func() {}),
		evacuated: map[string]bool{}, acknowledgedEvacuations: map[string]*modelRequest{}}
}

func (r *checker) newRequest() *modelRequest {
	r.requestCount++
	return &modelRequest{number: r.requestCount}
}

// currentVersion is the version in force.
func (r *checker) currentVersion() uint64 {
	if len(r.history) == 0 {
		return 0
	}
	return r.history[len(r.history)-1].version
}

// findAccepted is the change that an order became.
func (r *checker) findAccepted(request *modelRequest) (acceptedChange, bool) {
	i := slices.IndexFunc(r.history, func(a acceptedChange) bool { return a.matches(request) })
	if i < 0 {
		return acceptedChange{}, false
	}
	return r.history[i], true
}

func (a *acceptedChange) matches(request *modelRequest) bool {
	return a.basedOn == request.basedOn && a.body == string(request.changeRequest().body)
}

// countChanges is how many changes were accepted from a base to a version.
func (r *checker) countChanges(base, version uint64) (n int) {
	for _, a := range r.history {
		if a.basedOn >= base && a.version <= version {
			n++
		}
	}
	return n
}

// versionOf is the version that a command puts in force.
func (r *checker) versionOf(command []byte) uint64 {
	if decoded := decodeCommand(command); decoded.commit != nil {
		return decoded.commit.Version
	}
	return 0
}

// apply notes a command that is agreed on and returns its result.
func (r *checker) apply(index int, command []byte) []byte {
	sim := r.sim
	r.counts.committed++
	before := r.state.Version()
	result := r.state.Apply(uint64(index), sim.mutateCommand(r.state, index, command))
	outcome, err := state.DecodeResult(result)
	if err != nil {
		sim.fail("the result at %d can't be read: %v", index, err)
	}
	decoded := decodeCommand(command)
	switch {
	case outcome.Outcome != state.Accepted:
	case decoded.commit != nil:
		r.handleAcceptedChange(decoded.commit, before)
	default:
		r.handleEvacuation(decoded.evacuation)
	}
	return result
}

// handleAcceptedChange sees that changes make one chain, and that none is in force that was refused or is there already.
func (r *checker) handleAcceptedChange(command *state.CommitConfiguration, before uint64) {
	sim := r.sim
	a := acceptedChange{basedOn: command.BasedOn, version: command.Version}
	for _, write := range command.Writes {
		a.body = string(write.Value)
	}
	r.counts.accepted++
	sim.logf("version %d on %d is in force: %q", a.version, a.basedOn, a.body)
	if a.basedOn != before || before != r.currentVersion() || a.version <= before {
		sim.fail("version %d on %d is put in force over %d", a.version, a.basedOn, before)
	}
	if slices.ContainsFunc(r.history, func(other acceptedChange) bool {
		return other.basedOn == a.basedOn || other.version == a.version
	}) {
		sim.fail("two changes are in force as version %d on %d", a.version, a.basedOn)
	}
	if strings.HasSuffix(a.body, " invalid") {
		sim.fail("an invalid change is in force: %q", a.body)
	}
	for _, op := range r.operations {
		if op.request != nil && op.request.zone == "" && a.matches(op.request) {
			a.request = op.request
			if op.wasRejected {
				sim.fail("%v is in force, and was refused", op.request)
			}
		}
	}
	if a.request == nil {
		sim.fail("a change is in force that nobody sent: %q", a.body)
	}
	r.history = append(r.history, a)
}

// handleEvacuation sees that nobody but its sender changes what was acknowledged.
func (r *checker) handleEvacuation(command *state.SetEvacuation) {
	r.counts.evacuations++
	r.sim.logf("zone %s is evacuated: %t", command.Zone, command.On)
	r.evacuated[command.Zone] = command.On
	if firm := r.acknowledgedEvacuations[command.Zone]; firm != nil && firm.on != command.On {
		r.sim.fail("%v was acknowledged, and is undone", firm)
	}
}

// handleAcknowledgedEvacuation notes that an evacuation was acknowledged to its sender, which has ordered nothing else since.
func (r *checker) handleAcknowledgedEvacuation(request *modelRequest) {
	r.acknowledgedEvacuations[request.zone] = request
	if r.evacuated[request.zone] != request.on {
		r.sim.fail("%v is acknowledged, and is not so", request)
	}
}

// handleResponse judges an answer as it leaves its machine.
func (r *checker) handleResponse(request *modelRequest, answer modelResponse) {
	sim := r.sim
	rejected := answer.status >= 400 && answer.status < 500
	if request.zone != "" {
		if rejected {
			sim.fail("%v is refused", request)
		}
		if answer.status != http.StatusOK {
			r.counts.superseded++
		}
		return
	}
	change, taken := r.findAccepted(request)
	switch {
	case answer.status == http.StatusOK:
		r.counts.acknowledged++
		if request.acknowledged {
			r.counts.reacknowledged++
		}
		if !taken || change.version != answer.version {
			sim.fail("%v is acknowledged as %d, and was not agreed on", request, answer.version)
		}
	case rejected && taken:
		sim.fail("%v is refused with %d, and is in force", request, answer.status)
	case rejected:
		r.handleRejection(request, answer)
	default:
		r.counts.indefinite++
	}
}

func (r *checker) handleRejection(request *modelRequest, answer modelResponse) {
	if answer.status == http.StatusPreconditionFailed {
		r.counts.conflicts++
	} else {
		r.counts.invalid++
	}
	for _, op := range r.operations {
		if op.request != nil && op.request.zone == "" && op.request.basedOn == request.basedOn &&
			string(op.request.changeRequest().body) == string(request.changeRequest().body) {
			op.wasRejected = true
		}
	}
}

// unanswerable tells whether there may be no clear answer to an order: its base is not in force yet, or it is too old.
func (r *checker) unanswerable(request *modelRequest) bool {
	memory := r.sim.profile.HistoryLimit
	return request.basedOn > r.currentVersion() || memory > 0 && r.countChanges(request.basedOn, r.currentVersion()) > memory
}

// checkFinalState holds after the last fault.
func (r *checker) checkFinalState() {
	sim := r.sim
	for i, client := range sim.clients {
		if !client.done() {
			sim.fail("client %d has no clear answer", i)
		}
	}
	for _, node := range sim.nodes {
		if node.state.Version() != r.currentVersion() {
			sim.fail("machine %d is at version %d of %d", node.number, node.state.Version(), r.currentVersion())
		}
		for zone, on := range r.evacuated {
			if node.state.Evacuation(zone).On != on {
				sim.fail("machine %d: zone %s is evacuated: %t", node.number, zone, !on)
			}
		}
	}
	if sim.failure == "" {
		r.checkHistory()
	}
}

// operation is a copy of an order, or a read, with its answer.
type operation struct {
	client             int
	request            *modelRequest // nil: a read
	zone               string        // that the read or the order is about; empty: the configuration
	response           modelResponse
	startedAt, endedAt time.Duration
	wasRejected        bool // a copy of the order was
}

func (r *checker) beginOperation(client int, request *modelRequest, zone string) *operation {
	op := &operation{client: client, request: request, zone: zone, startedAt: r.sim.now}
	if request != nil {
		op.wasRejected = slices.ContainsFunc(r.operations, func(other *operation) bool {
			return other.wasRejected && other.request == request
		})
		if request.zone != "" && r.acknowledgedEvacuations[request.zone] != request {
			delete(r.acknowledgedEvacuations, request.zone)
		}
	}
	r.operations = append(r.operations, op)
	return op
}

// toPorcupine is the operation as the checker wants it.
func (o *operation) toPorcupine(until time.Duration) porcupine.Operation {
	return porcupine.Operation{ClientId: o.client, Input: o, Call: int64(o.startedAt), Output: o.response, Return: int64(until)}
}

func (o *operation) complete(answer modelResponse, now time.Duration) {
	o.response, o.endedAt = answer, now
}

// text lists operations.
func historyText(operations []porcupine.Operation) string {
	var b strings.Builder
	for i := range operations {
		op := operations[i].Input.(*operation)
		fmt.Fprintf(&b, "\n  %v to %v: client %d: ", op.startedAt, time.Duration(operations[i].Return), op.client)
		if op.request == nil {
			fmt.Fprintf(&b, "read of %q: %+v", op.zone, op.response)
		} else {
			fmt.Fprintf(&b, "%v: %d %d", op.request, op.response.status, op.response.version)
		}
	}
	return b.String()
}

// checkHistory tells whether what the clients saw is linearizable: configuration and zones, each by itself.
func (r *checker) checkHistory() {
	r.checkOperations("the configuration", configurationModel, r.configurationHistory())
	for _, zone := range simulatedZones {
		r.checkOperations("zone "+zone, zoneModel.ToModel(), r.zoneHistory(zone))
	}
}

func (r *checker) checkOperations(of string, model porcupine.Model, operations []porcupine.Operation) {
	switch porcupine.CheckOperationsTimeout(model, operations, linearizabilityTimeout) {
	case porcupine.Illegal:
		r.sim.fail("the history of %s is not linearizable: %s", of, historyText(operations))
	case porcupine.Unknown:
		r.sim.fail("the history of %s with %d operations took too long to check", of, len(operations))
	}
}

// configurationHistory is the history of the configuration, without what can't matter: reads without an answer, and orders without one
// that were never taken, or of which a copy without one is there already.
func (r *checker) configurationHistory() (operations []porcupine.Operation) {
	unanswered := map[*modelRequest]bool{}
	for _, op := range r.operations {
		if op.zone != "" {
			continue
		}
		until := op.endedAt
		if !op.response.isDefinite() {
			if op.request == nil || unanswered[op.request] {
				continue
			}
			if _, taken := r.findAccepted(op.request); !taken {
				continue
			}
			unanswered[op.request] = true
			until = math.MaxInt64
		}
		operations = append(operations, op.toPorcupine(until))
	}
	return operations
}

// zoneHistory is the history of a zone with one operation for each order, however often it was sent. One that was given up
// may have taken effect, but not after the next acknowledgement.
func (r *checker) zoneHistory(zone string) (operations []porcupine.Operation) {
	first := map[*modelRequest]bool{}
	for i, op := range r.operations {
		switch {
		case op.zone != zone || op.request == nil && !op.response.isDefinite():
		case op.request == nil:
			operations = append(operations, op.toPorcupine(op.endedAt))
		case !first[op.request]:
			first[op.request] = true
			operations = append(operations, op.toPorcupine(r.firstAcknowledgement(i, zone)))
		}
	}
	return operations
}

// firstAcknowledgement is when an order about the zone, that of an operation or a later one, was first acknowledged.
func (r *checker) firstAcknowledgement(i int, zone string) time.Duration {
	at := time.Duration(math.MaxInt64)
	for _, op := range r.operations[i:] {
		if op.zone == zone && op.request != nil && op.response.status == http.StatusOK {
			at = min(at, op.endedAt)
		}
	}
	return at
}

// versionChain is the configuration as clients see it: the last change and those before it.
type versionChain struct {
	previous *versionChain
	basedOn  uint64
	version  uint64
	body     string
}

func (c *versionChain) currentVersion() uint64 {
	if c == nil {
		return 0
	}
	return c.version
}

// configurationModel is what clients may rely on: a valid change on the version in force is accepted, once however often it is
// sent; one whose base is passed is refused; a read shows what is in force.
var configurationModel = porcupine.Model{
	Init: func() any { return (*versionChain)(nil) },
	Step: func(now, input, output any) (bool, any) {
		c, op, answer := now.(*versionChain), input.(*operation), output.(modelResponse)
		if op.request == nil {
			return answer.version == c.currentVersion() && (c == nil || answer.text == c.body), c
		}
		order := op.request
		body := string(order.changeRequest().body)
		for taken := c; taken != nil; taken = taken.previous {
			if taken.basedOn == order.basedOn && taken.body == body {
				clear := answer.status >= 400 && answer.status < 500
				return !clear && (answer.status != http.StatusOK || answer.version == taken.version), c
			}
		}
		accepts := order.basedOn == c.currentVersion() && !order.invalid && order.version > order.basedOn
		switch answer.status {
		case http.StatusPreconditionFailed:
			return order.basedOn < c.currentVersion(), c
		case http.StatusBadRequest:
			return order.basedOn == c.currentVersion() && !accepts, c
		case http.StatusOK:
			if !accepts || answer.version != order.version {
				return false, c
			}
		}
		if !accepts {
			return true, c
		}
		return true, &versionChain{previous: c, basedOn: order.basedOn, version: order.version, body: body}
	},
	Hash: func(state any) uint64 {
		h := fnv.New64a()
		if c := state.(*versionChain); c != nil {
			fmt.Fprint(h, c.version, c.body)
		}
		return h.Sum64()
	},
	Equal: func(a, b any) bool { return equalChains(a.(*versionChain), b.(*versionChain)) },
}

func equalChains(a, b *versionChain) bool {
	for a != nil && b != nil && a != b {
		if a.basedOn != b.basedOn || a.version != b.version || a.body != b.body {
			return false
		}
		a, b = a.previous, b.previous
	}
	return a == b
}

// zoneModel is a zone that is evacuated or not.
var zoneModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{false} },
	Step: func(now, input, output any) []any {
		op := input.(*operation)
		switch {
		case op.request == nil && now.(bool) != output.(modelResponse).on:
			return nil
		case op.request == nil:
			return []any{now}
		case op.request.acknowledged:
			return []any{op.request.on}
		}
		return []any{now, op.request.on}
	},
}

// decodedCommand is one of the two.
type decodedCommand struct {
	commit     *state.CommitConfiguration
	evacuation *state.SetEvacuation
}

// decodeCommand reads a command of the committer. Its format is that of package state, which reads it for itself only.
func decodeCommand(command []byte) decodedCommand {
	b := command[2:]
	number := func() uint64 {
		v, n := binary.Uvarint(b)
		b = b[n:]
		return v
	}
	text := func() string {
		n := number()
		read := string(b[:n])
		b = b[n:]
		return read
	}
	if command[1] == evacuationKind {
		e := &state.SetEvacuation{Seen: number(), On: b[0] == 1}
		b = b[1:]
		e.Zone = text()
		return decodedCommand{evacuation: e}
	}
	c := &state.CommitConfiguration{BasedOn: number(), Version: number()}
	copy(c.Digest[:], b)
	b = b[state.DigestSize:]
	for range number() {
		write := state.Write{Key: text()}
		b = b[1:] // it is never a deletion
		write.Value = []byte(text())
		c.Writes = append(c.Writes, write)
	}
	return decodedCommand{commit: c}
}

// evacuationKind is the second byte of a SetEvacuation.
const evacuationKind = 2
