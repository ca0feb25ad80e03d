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

// acceptedChange is a change that the log has accepted.
type acceptedChange struct {
	basedOn, version uint64
	body             string
	request          *modelRequest
}

// checker observes all requests, log entries and responses of a simulation, and fails it when one breaks a guarantee of
// the package.
type checker struct {
	sim                     *simulation
	requestCount            int
	state                   *state.Configuration // of the whole log
	history                 []acceptedChange
	evacuated               map[string]bool
	acknowledgedEvacuations map[string]*modelRequest // by zone; deleted when the sender begins another request
	operations              []*operation
	counts                  eventCounts
}

// eventCounts show what a simulation has covered.
type eventCounts struct {
	accepted, acknowledged, conflicts, invalid, indefinite, reacknowledged, evacuations, superseded, committed int
}

func newChecker(sim *simulation) *checker {
	return &checker{
		sim:                     sim,
		state:                   state.NewConfiguration(func() time.Duration { return sim.now }, func() {}),
		evacuated:               map[string]bool{},
		acknowledgedEvacuations: map[string]*modelRequest{},
	}
}

func (c *checker) newRequest() *modelRequest {
	c.requestCount++
	return &modelRequest{number: c.requestCount}
}

// currentVersion returns the version in force.
func (c *checker) currentVersion() uint64 {
	if len(c.history) == 0 {
		return 0
	}
	return c.history[len(c.history)-1].version
}

// findAccepted returns the accepted change that a request became.
func (c *checker) findAccepted(request *modelRequest) (acceptedChange, bool) {
	i := slices.IndexFunc(c.history, func(a acceptedChange) bool { return a.matches(request) })
	if i < 0 {
		return acceptedChange{}, false
	}
	return c.history[i], true
}

func (a *acceptedChange) matches(request *modelRequest) bool {
	return a.basedOn == request.basedOn && a.body == string(request.changeRequest().body)
}

// countChanges returns the number of changes that were accepted between a base and a version.
func (c *checker) countChanges(base, version uint64) (n int) {
	for _, a := range c.history {
		if a.basedOn >= base && a.version <= version {
			n++
		}
	}
	return n
}

// versionOf returns the version that a command puts in force; 0 for an evacuation.
func (c *checker) versionOf(command []byte) uint64 {
	if decoded := decodeCommand(command); decoded.commit != nil {
		return decoded.commit.Version
	}
	return 0
}

// apply applies a command at its log index and returns its result.
func (c *checker) apply(index int, command []byte) []byte {
	sim := c.sim
	c.counts.committed++
	previousVersion := c.state.Version()
	result := c.state.Apply(uint64(index), sim.mutateCommand(c.state, index, command))
	outcome, err := state.DecodeResult(result)
	if err != nil {
		sim.fail("the result at %d can't be read: %v", index, err)
	}
	decoded := decodeCommand(command)
	switch {
	case outcome.Outcome != state.OutcomeAccepted:
	case decoded.commit != nil:
		c.handleAcceptedChange(decoded.commit, previousVersion)
	default:
		c.handleEvacuation(decoded.evacuation)
	}
	return result
}

// handleAcceptedChange checks that accepted changes form one chain, and that none was invalid, rejected or accepted
// before.
func (c *checker) handleAcceptedChange(command *state.CommitConfiguration, previousVersion uint64) {
	sim := c.sim
	change := acceptedChange{basedOn: command.BaseVersion, version: command.Version}
	for _, write := range command.Writes {
		change.body = string(write.Value)
	}
	c.counts.accepted++
	sim.logf("version %d on %d is in force: %q", change.version, change.basedOn, change.body)
	if change.basedOn != previousVersion || previousVersion != c.currentVersion() || change.version <= previousVersion {
		sim.fail("version %d on %d is put in force over %d", change.version, change.basedOn, previousVersion)
	}
	if slices.ContainsFunc(c.history, func(other acceptedChange) bool {
		return other.basedOn == change.basedOn || other.version == change.version
	}) {
		sim.fail("two changes are in force as version %d on %d", change.version, change.basedOn)
	}
	if strings.HasSuffix(change.body, " invalid") {
		sim.fail("an invalid change is in force: %q", change.body)
	}
	for _, op := range c.operations {
		if op.request != nil && op.request.zone == "" && change.matches(op.request) {
			change.request = op.request
			if op.wasRejected {
				sim.fail("%v is in force, and was rejected", op.request)
			}
		}
	}
	if change.request == nil {
		sim.fail("a change is in force that nobody sent: %q", change.body)
	}
	c.history = append(c.history, change)
}

// handleEvacuation checks that only its sender undoes an evacuation that was acknowledged.
func (c *checker) handleEvacuation(command *state.SetEvacuation) {
	c.counts.evacuations++
	c.sim.logf("zone %s is evacuated: %t", command.Zone, command.Evacuated)
	c.evacuated[command.Zone] = command.Evacuated
	if acknowledged := c.acknowledgedEvacuations[command.Zone]; acknowledged != nil && acknowledged.evacuate != command.Evacuated {
		c.sim.fail("%v was acknowledged, and is reverted", acknowledged)
	}
}

// handleAcknowledgedEvacuation records an evacuation that was acknowledged to its sender, which has sent no other
// request since.
func (c *checker) handleAcknowledgedEvacuation(request *modelRequest) {
	c.acknowledgedEvacuations[request.zone] = request
	if c.evacuated[request.zone] != request.evacuate {
		c.sim.fail("%v is acknowledged, but not in force", request)
	}
}

// handleResponse checks a response as it leaves its node.
func (c *checker) handleResponse(request *modelRequest, response modelResponse) {
	sim := c.sim
	rejected := response.status >= 400 && response.status < 500
	if request.zone != "" {
		if rejected {
			sim.fail("%v is rejected", request)
		}
		if response.status != http.StatusOK {
			c.counts.superseded++
		}
		return
	}
	change, accepted := c.findAccepted(request)
	switch {
	case response.status == http.StatusOK:
		c.counts.acknowledged++
		if request.acknowledged {
			c.counts.reacknowledged++
		}
		if !accepted || change.version != response.version {
			sim.fail("%v is acknowledged as %d, and was not committed", request, response.version)
		}
	case rejected && accepted:
		sim.fail("%v is rejected with %d, and is in force", request, response.status)
	case rejected:
		c.handleRejection(request, response)
	default:
		c.counts.indefinite++
	}
}

func (c *checker) handleRejection(request *modelRequest, response modelResponse) {
	if response.status == http.StatusPreconditionFailed {
		c.counts.conflicts++
	} else {
		c.counts.invalid++
	}
	for _, op := range c.operations {
		if op.request != nil && op.request.zone == "" && op.request.basedOn == request.basedOn &&
			string(op.request.changeRequest().body) == string(request.changeRequest().body) {
			op.wasRejected = true
		}
	}
}

// unanswerable reports whether a request may get no definite response: its base is not in force yet, or it is older
// than the history limit.
func (c *checker) unanswerable(request *modelRequest) bool {
	limit := c.sim.profile.HistoryLimit
	return request.basedOn > c.currentVersion() || limit > 0 && c.countChanges(request.basedOn, c.currentVersion()) > limit
}

// checkFinalState checks clients, nodes and the history after recovery.
func (c *checker) checkFinalState() {
	sim := c.sim
	for i, client := range sim.clients {
		if !client.done() {
			sim.fail("client %d has requests without a definite response", i)
		}
	}
	for _, node := range sim.nodes {
		if node.state.Version() != c.currentVersion() {
			sim.fail("node %d is at version %d of %d", node.number, node.state.Version(), c.currentVersion())
		}
		for zone, evacuated := range c.evacuated {
			if node.state.Evacuation(zone).Evacuated != evacuated {
				sim.fail("node %d: zone %s is evacuated: %t", node.number, zone, !evacuated)
			}
		}
	}
	if sim.failure == "" {
		c.checkHistory()
	}
}

// operation is one delivery of a request, or a read, with its response.
type operation struct {
	client             int
	request            *modelRequest // nil for a read
	zone               string        // empty: the configuration
	response           modelResponse
	startedAt, endedAt time.Duration
	wasRejected        bool // some delivery of the request was
}

func (c *checker) beginOperation(client int, request *modelRequest, zone string) *operation {
	op := &operation{client: client, request: request, zone: zone, startedAt: c.sim.now}
	if request != nil {
		op.wasRejected = slices.ContainsFunc(c.operations, func(other *operation) bool {
			return other.wasRejected && other.request == request
		})
		if request.zone != "" && c.acknowledgedEvacuations[request.zone] != request {
			delete(c.acknowledgedEvacuations, request.zone)
		}
	}
	c.operations = append(c.operations, op)
	return op
}

// toPorcupine converts the operation for the linearizability check.
func (o *operation) toPorcupine(until time.Duration) porcupine.Operation {
	return porcupine.Operation{ClientId: o.client, Input: o, Call: int64(o.startedAt), Output: o.response, Return: int64(until)}
}

func (o *operation) complete(response modelResponse, now time.Duration) {
	o.response = response
	o.endedAt = now
}

// historyText lists operations, one a line.
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

// checkHistory checks that what the clients observed is linearizable: the configuration and each zone by itself.
func (c *checker) checkHistory() {
	c.checkOperations("the configuration", configurationModel, c.configurationHistory())
	for _, zone := range simulatedZones {
		c.checkOperations("zone "+zone, zoneModel.ToModel(), c.zoneHistory(zone))
	}
}

func (c *checker) checkOperations(subject string, model porcupine.Model, operations []porcupine.Operation) {
	switch porcupine.CheckOperationsTimeout(model, operations, linearizabilityTimeout) {
	case porcupine.Illegal:
		c.sim.fail("the history of %s is not linearizable: %s", subject, historyText(operations))
	case porcupine.Unknown:
		c.sim.fail("the history of %s with %d operations took too long to check", subject, len(operations))
	}
}

// configurationHistory returns the operations on the configuration, without those that can't matter: reads without a
// response, and of the unanswered deliveries those of requests never accepted and all but the first of a request.
func (c *checker) configurationHistory() (operations []porcupine.Operation) {
	seen := map[*modelRequest]bool{}
	for _, op := range c.operations {
		if op.zone != "" {
			continue
		}
		until := op.endedAt
		if !op.response.isDefinite() {
			if op.request == nil || seen[op.request] {
				continue
			}
			if _, accepted := c.findAccepted(op.request); !accepted {
				continue
			}
			seen[op.request] = true
			until = math.MaxInt64
		}
		operations = append(operations, op.toPorcupine(until))
	}
	return operations
}

// zoneHistory returns the operations on a zone, one for each request however often it was sent. A request that was
// given up may have taken effect, but not after the next acknowledgement.
func (c *checker) zoneHistory(zone string) (operations []porcupine.Operation) {
	first := map[*modelRequest]bool{}
	for i, op := range c.operations {
		switch {
		case op.zone != zone || op.request == nil && !op.response.isDefinite():
		case op.request == nil:
			operations = append(operations, op.toPorcupine(op.endedAt))
		case !first[op.request]:
			first[op.request] = true
			operations = append(operations, op.toPorcupine(c.firstAcknowledgement(i, zone)))
		}
	}
	return operations
}

// firstAcknowledgement returns when a request about the zone, that of operation i or a later one, was first
// acknowledged.
func (c *checker) firstAcknowledgement(i int, zone string) time.Duration {
	at := time.Duration(math.MaxInt64)
	for _, op := range c.operations[i:] {
		if op.zone == zone && op.request != nil && op.response.status == http.StatusOK {
			at = min(at, op.endedAt)
		}
	}
	return at
}

// versionChain is the configuration as clients observe it: the last change and those before it.
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

// configurationModel is what clients may rely on: a valid change on the version in force is accepted, once however
// often it is sent; one whose base is superseded is rejected; a read returns what is in force.
var configurationModel = porcupine.Model{
	Init: func() any { return (*versionChain)(nil) },
	Step: func(now, input, output any) (bool, any) {
		ok, next := stepConfiguration(now.(*versionChain), input.(*operation), output.(modelResponse))
		return ok, next
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

// stepConfiguration reports whether the model allows the response to an operation, and the configuration afterwards.
func stepConfiguration(chain *versionChain, op *operation, response modelResponse) (bool, *versionChain) {
	if op.request == nil {
		return response.version == chain.currentVersion() && (chain == nil || response.text == chain.body), chain
	}
	request := op.request
	body := string(request.changeRequest().body)
	for accepted := chain; accepted != nil; accepted = accepted.previous {
		if accepted.basedOn == request.basedOn && accepted.body == body {
			rejected := response.status >= 400 && response.status < 500
			return !rejected && (response.status != http.StatusOK || response.version == accepted.version), chain
		}
	}
	accepts := request.basedOn == chain.currentVersion() && !request.invalid && request.version > request.basedOn
	switch response.status {
	case http.StatusPreconditionFailed:
		return request.basedOn < chain.currentVersion(), chain
	case http.StatusBadRequest:
		return request.basedOn == chain.currentVersion() && !accepts, chain
	case http.StatusOK:
		if !accepts || response.version != request.version {
			return false, chain
		}
	}
	if !accepts {
		return true, chain
	}
	return true, &versionChain{previous: chain, basedOn: request.basedOn, version: request.version, body: body}
}

func equalChains(a, b *versionChain) bool {
	for a != nil && b != nil && a != b {
		if a.basedOn != b.basedOn || a.version != b.version || a.body != b.body {
			return false
		}
		a = a.previous
		b = b.previous
	}
	return a == b
}

// zoneModel is a register that says whether a zone is evacuated. Unacknowledged requests may or may not take effect.
var zoneModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{false} },
	Step: func(now, input, output any) []any {
		op := input.(*operation)
		switch {
		case op.request == nil && now.(bool) != output.(modelResponse).evacuated:
			return nil
		case op.request == nil:
			return []any{now}
		case op.request.acknowledged:
			return []any{op.request.evacuate}
		}
		return []any{now, op.request.evacuate}
	},
}

// decodedCommand holds one of the two.
type decodedCommand struct {
	commit     *state.CommitConfiguration
	evacuation *state.SetEvacuation
}

// decodeCommand decodes a command of the committer. The format is that of package state, whose decoder is not exported.
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
		e := &state.SetEvacuation{ExpectedRevision: number(), Evacuated: b[0] == 1}
		b = b[1:]
		e.Zone = text()
		return decodedCommand{evacuation: e}
	}
	c := &state.CommitConfiguration{BaseVersion: number(), Version: number()}
	copy(c.Digest[:], b)
	b = b[state.DigestSize:]
	for range number() {
		write := state.Write{Key: text()}
		b = b[1:] // the deletion flag, never set here
		write.Value = []byte(text())
		c.Writes = append(c.Writes, write)
	}
	return decodedCommand{commit: c}
}

// evacuationKind is the second byte of an encoded SetEvacuation.
const evacuationKind = 2
