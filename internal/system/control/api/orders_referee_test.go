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

const checkingMost = 30 * time.Second

var zonesInPlay = []string{"a", "b"}

// acceptedOrder is a change that was put in force.
type acceptedOrder struct {
	basedOn, version uint64
	body             string
	order            *modelOrder
}

// orderReferee knows everything that is sent, agreed on and answered, and the rules.
type orderReferee struct {
	world      *orderWorld
	orders     int
	state      *state.Configuration // of all that was agreed on
	chain      []acceptedOrder
	evacuated  map[string]bool
	firm       map[string]*modelOrder // evacuations that were acknowledged last and are not ordered otherwise yet
	operations []*orderOperation
	counts     orderCounts
}

// orderCounts are what happened.
type orderCounts struct {
	accepted, acknowledged, conflicts, invalid, unclear, again, evacuations, overtaken, agreed int
}

func newOrderReferee(w *orderWorld) *orderReferee {
	return &orderReferee{world: w, state: state.NewConfiguration(func() time.Duration { return w.now }, func() {}),
		evacuated: map[string]bool{}, firm: map[string]*modelOrder{}}
}

func (r *orderReferee) newOrder() *modelOrder {
	r.orders++
	return &modelOrder{number: r.orders}
}

// current is the version in force.
func (r *orderReferee) current() uint64 {
	if len(r.chain) == 0 {
		return 0
	}
	return r.chain[len(r.chain)-1].version
}

// taken is the change that an order became.
func (r *orderReferee) taken(order *modelOrder) (acceptedOrder, bool) {
	i := slices.IndexFunc(r.chain, func(a acceptedOrder) bool { return a.is(order) })
	if i < 0 {
		return acceptedOrder{}, false
	}
	return r.chain[i], true
}

func (a *acceptedOrder) is(order *modelOrder) bool {
	return a.basedOn == order.basedOn && a.body == string(order.request().body)
}

// changesSince is how many changes were accepted from a base to a version.
func (r *orderReferee) changesSince(base, version uint64) (n int) {
	for _, a := range r.chain {
		if a.basedOn >= base && a.version <= version {
			n++
		}
	}
	return n
}

// versionOf is the version that a command puts in force.
func (r *orderReferee) versionOf(command []byte) uint64 {
	if decoded := decodeCommand(command); decoded.commit != nil {
		return decoded.commit.Version
	}
	return 0
}

// apply notes a command that is agreed on and returns its result.
func (r *orderReferee) apply(index int, command []byte) []byte {
	w := r.world
	r.counts.agreed++
	before := r.state.Version()
	result := r.state.Apply(uint64(index), w.planted(r.state, index, command))
	outcome, err := state.DecodeResult(result)
	if err != nil {
		w.fail("the result at %d can't be read: %v", index, err)
	}
	decoded := decodeCommand(command)
	switch {
	case outcome.Outcome != state.Accepted:
	case decoded.commit != nil:
		r.accepted(decoded.commit, before)
	default:
		r.evacuation(decoded.evacuation)
	}
	return result
}

// accepted sees that changes make one chain, and that none is in force that was refused or is there already.
func (r *orderReferee) accepted(command *state.CommitConfiguration, before uint64) {
	w := r.world
	a := acceptedOrder{basedOn: command.BasedOn, version: command.Version}
	for _, write := range command.Writes {
		a.body = string(write.Value)
	}
	r.counts.accepted++
	w.logf("version %d on %d is in force: %q", a.version, a.basedOn, a.body)
	if a.basedOn != before || before != r.current() || a.version <= before {
		w.fail("version %d on %d is put in force over %d", a.version, a.basedOn, before)
	}
	if slices.ContainsFunc(r.chain, func(other acceptedOrder) bool {
		return other.basedOn == a.basedOn || other.version == a.version
	}) {
		w.fail("two changes are in force as version %d on %d", a.version, a.basedOn)
	}
	if strings.HasSuffix(a.body, " invalid") {
		w.fail("an invalid change is in force: %q", a.body)
	}
	for _, op := range r.operations {
		if op.order != nil && op.order.zone == "" && a.is(op.order) {
			a.order = op.order
			if op.wasRefused {
				w.fail("%v is in force, and was refused", op.order)
			}
		}
	}
	if a.order == nil {
		w.fail("a change is in force that nobody sent: %q", a.body)
	}
	r.chain = append(r.chain, a)
}

// evacuation sees that nobody but its sender changes what was acknowledged.
func (r *orderReferee) evacuation(command *state.SetEvacuation) {
	r.counts.evacuations++
	r.world.logf("zone %s is evacuated: %t", command.Zone, command.On)
	r.evacuated[command.Zone] = command.On
	if firm := r.firm[command.Zone]; firm != nil && firm.on != command.On {
		r.world.fail("%v was acknowledged, and is undone", firm)
	}
}

// holds notes that an evacuation was acknowledged to its sender, which has ordered nothing else since.
func (r *orderReferee) holds(order *modelOrder) {
	r.firm[order.zone] = order
	if r.evacuated[order.zone] != order.on {
		r.world.fail("%v is acknowledged, and is not so", order)
	}
}

// answered judges an answer as it leaves its machine.
func (r *orderReferee) answered(order *modelOrder, answer orderAnswer) {
	w := r.world
	refuses := answer.status >= 400 && answer.status < 500
	if order.zone != "" {
		if refuses {
			w.fail("%v is refused", order)
		}
		if answer.status != http.StatusOK {
			r.counts.overtaken++
		}
		return
	}
	change, taken := r.taken(order)
	switch {
	case answer.status == http.StatusOK:
		r.counts.acknowledged++
		if order.acknowledged {
			r.counts.again++
		}
		if !taken || change.version != answer.version {
			w.fail("%v is acknowledged as %d, and was not agreed on", order, answer.version)
		}
	case refuses && taken:
		w.fail("%v is refused with %d, and is in force", order, answer.status)
	case refuses:
		r.refused(order, answer)
	default:
		r.counts.unclear++
	}
}

func (r *orderReferee) refused(order *modelOrder, answer orderAnswer) {
	if answer.status == http.StatusPreconditionFailed {
		r.counts.conflicts++
	} else {
		r.counts.invalid++
	}
	for _, op := range r.operations {
		if op.order != nil && op.order.zone == "" && op.order.basedOn == order.basedOn &&
			string(op.order.request().body) == string(order.request().body) {
			op.wasRefused = true
		}
	}
}

// unanswerable tells whether there may be no clear answer to an order: its base is not in force yet, or it is too old.
func (r *orderReferee) unanswerable(order *modelOrder) bool {
	memory := r.world.profile.Memory
	return order.basedOn > r.current() || memory > 0 && r.changesSince(order.basedOn, r.current()) > memory
}

// checkEnd holds after the last fault.
func (r *orderReferee) checkEnd() {
	w := r.world
	for i, client := range w.clients {
		if !client.done() {
			w.fail("client %d has no clear answer", i)
		}
	}
	for _, m := range w.machines {
		if m.state.Version() != r.current() {
			w.fail("machine %d is at version %d of %d", m.number, m.state.Version(), r.current())
		}
		for zone, on := range r.evacuated {
			if m.state.Evacuation(zone).On != on {
				w.fail("machine %d: zone %s is evacuated: %t", m.number, zone, !on)
			}
		}
	}
	if w.failed == "" {
		r.checkHistory()
	}
}

// orderOperation is a copy of an order, or a read, with its answer.
type orderOperation struct {
	client      int
	order       *modelOrder // nil: a read
	zone        string      // that the read or the order is about; empty: the configuration
	answer      orderAnswer
	from, until time.Duration
	wasRefused  bool // a copy of the order was
}

func (r *orderReferee) begin(client int, order *modelOrder, zone string) *orderOperation {
	op := &orderOperation{client: client, order: order, zone: zone, from: r.world.now}
	if order != nil {
		op.wasRefused = slices.ContainsFunc(r.operations, func(other *orderOperation) bool {
			return other.wasRefused && other.order == order
		})
		if order.zone != "" && r.firm[order.zone] != order {
			delete(r.firm, order.zone)
		}
	}
	r.operations = append(r.operations, op)
	return op
}

// endingAt is the operation as the checker wants it.
func (o *orderOperation) endingAt(until time.Duration) porcupine.Operation {
	return porcupine.Operation{ClientId: o.client, Input: o, Call: int64(o.from), Output: o.answer, Return: int64(until)}
}

func (o *orderOperation) end(answer orderAnswer, now time.Duration) { o.answer, o.until = answer, now }

// text lists operations.
func historyText(operations []porcupine.Operation) string {
	var b strings.Builder
	for i := range operations {
		op := operations[i].Input.(*orderOperation)
		fmt.Fprintf(&b, "\n  %v to %v: client %d: ", op.from, time.Duration(operations[i].Return), op.client)
		if op.order == nil {
			fmt.Fprintf(&b, "read of %q: %+v", op.zone, op.answer)
		} else {
			fmt.Fprintf(&b, "%v: %d %d", op.order, op.answer.status, op.answer.version)
		}
	}
	return b.String()
}

// checkHistory tells whether what the clients saw is linearizable: configuration and zones, each by itself.
func (r *orderReferee) checkHistory() {
	r.checkOperations("the configuration", changesModel, r.changes())
	for _, zone := range zonesInPlay {
		r.checkOperations("zone "+zone, zoneModel.ToModel(), r.zoneHistory(zone))
	}
}

func (r *orderReferee) checkOperations(of string, model porcupine.Model, operations []porcupine.Operation) {
	switch porcupine.CheckOperationsTimeout(model, operations, checkingMost) {
	case porcupine.Illegal:
		r.world.fail("the history of %s is not linearizable: %s", of, historyText(operations))
	case porcupine.Unknown:
		r.world.fail("the history of %s with %d operations took too long to check", of, len(operations))
	}
}

// changes is the history of the configuration, without what can't matter: reads without an answer, and orders without one
// that were never taken, or of which a copy without one is there already.
func (r *orderReferee) changes() (operations []porcupine.Operation) {
	unanswered := map[*modelOrder]bool{}
	for _, op := range r.operations {
		if op.zone != "" {
			continue
		}
		until := op.until
		if !op.answer.clear() {
			if op.order == nil || unanswered[op.order] {
				continue
			}
			if _, taken := r.taken(op.order); !taken {
				continue
			}
			unanswered[op.order] = true
			until = math.MaxInt64
		}
		operations = append(operations, op.endingAt(until))
	}
	return operations
}

// zoneHistory is the history of a zone with one operation for each order, however often it was sent. One that was given up
// may have taken effect, but not after the next acknowledgement.
func (r *orderReferee) zoneHistory(zone string) (operations []porcupine.Operation) {
	first := map[*modelOrder]bool{}
	for i, op := range r.operations {
		switch {
		case op.zone != zone || op.order == nil && !op.answer.clear():
		case op.order == nil:
			operations = append(operations, op.endingAt(op.until))
		case !first[op.order]:
			first[op.order] = true
			operations = append(operations, op.endingAt(r.acknowledgedAfter(i, zone)))
		}
	}
	return operations
}

// acknowledgedAfter is when an order about the zone, that of an operation or a later one, was first acknowledged.
func (r *orderReferee) acknowledgedAfter(i int, zone string) time.Duration {
	at := time.Duration(math.MaxInt64)
	for _, op := range r.operations[i:] {
		if op.zone == zone && op.order != nil && op.answer.status == http.StatusOK {
			at = min(at, op.until)
		}
	}
	return at
}

// changesSeen is the configuration as clients see it: the last change and those before it.
type changesSeen struct {
	before  *changesSeen
	basedOn uint64
	version uint64
	body    string
}

func (c *changesSeen) current() uint64 {
	if c == nil {
		return 0
	}
	return c.version
}

// changesModel is what clients may rely on: a valid change on the version in force is accepted, once however often it is
// sent; one whose base is passed is refused; a read shows what is in force.
var changesModel = porcupine.Model{
	Init: func() any { return (*changesSeen)(nil) },
	Step: func(now, input, output any) (bool, any) {
		c, op, answer := now.(*changesSeen), input.(*orderOperation), output.(orderAnswer)
		if op.order == nil {
			return answer.version == c.current() && (c == nil || answer.text == c.body), c
		}
		order := op.order
		body := string(order.request().body)
		for taken := c; taken != nil; taken = taken.before {
			if taken.basedOn == order.basedOn && taken.body == body {
				clear := answer.status >= 400 && answer.status < 500
				return !clear && (answer.status != http.StatusOK || answer.version == taken.version), c
			}
		}
		accepts := order.basedOn == c.current() && !order.invalid && order.version > order.basedOn
		switch answer.status {
		case http.StatusPreconditionFailed:
			return order.basedOn < c.current(), c
		case http.StatusBadRequest:
			return order.basedOn == c.current() && !accepts, c
		case http.StatusOK:
			if !accepts || answer.version != order.version {
				return false, c
			}
		}
		if !accepts {
			return true, c
		}
		return true, &changesSeen{before: c, basedOn: order.basedOn, version: order.version, body: body}
	},
	Hash: func(state any) uint64 {
		h := fnv.New64a()
		if c := state.(*changesSeen); c != nil {
			fmt.Fprint(h, c.version, c.body)
		}
		return h.Sum64()
	},
	Equal: func(a, b any) bool { return sameChanges(a.(*changesSeen), b.(*changesSeen)) },
}

func sameChanges(a, b *changesSeen) bool {
	for a != nil && b != nil && a != b {
		if a.basedOn != b.basedOn || a.version != b.version || a.body != b.body {
			return false
		}
		a, b = a.before, b.before
	}
	return a == b
}

// zoneModel is a zone that is evacuated or not.
var zoneModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{false} },
	Step: func(now, input, output any) []any {
		op := input.(*orderOperation)
		switch {
		case op.order == nil && now.(bool) != output.(orderAnswer).on:
			return nil
		case op.order == nil:
			return []any{now}
		case op.order.acknowledged:
			return []any{op.order.on}
		}
		return []any{now, op.order.on}
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
