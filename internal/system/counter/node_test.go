package counter

import (
	"errors"
	"fmt"
	"math"
	"math/big"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const testStart = time.Hour

// testAddress returns the address of a peer of scripted tests.
func testAddress(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(number)}), 7000)
}

// testPeers returns peers 2 to count, each in a zone of its own.
func testPeers(count int) (peers []Peer) {
	for number := 2; number <= count; number++ {
		peers = append(peers, Peer{Address: testAddress(number), Zone: fmt.Sprintf("z%d", number)})
	}
	return peers
}

// newTestNode returns node 1 of scripted tests, whose origin is 1 unless options tell another one.
func newTestNode(t *testing.T, options Options, persisted ...Entry) *Node {
	t.Helper()
	if options.Origin == 0 {
		options.Origin = 1
	}
	if options.Durability == (Durability{}) {
		options.Durability = Durability{Machines: 1, Zones: 1}
	}
	if options.MaxOperations == 0 {
		options.MaxOperations = 1 << 20
	}
	options.Address = testAddress(1)
	options.Zone = "z1"
	options.NewOrigin = func() Origin { return options.Origin + 1000 }
	node, err := NewNode(options, persisted, testStart)
	if err != nil {
		t.Fatal(err)
	}
	return node
}

// sender returns the identity of a scripted peer.
func sender(number int, origin Origin) Sender {
	return Sender{Address: testAddress(number).String(), Zone: fmt.Sprintf("z%d", number), Origin: origin}
}

// senderIn returns the identity of a scripted peer in another zone, whose origin is its number.
func senderIn(zone string, number int) Sender {
	identity := sender(number, Origin(number))
	identity.Zone = zone
	return identity
}

// replyFrom returns a reply of a peer that holds a vector.
func replyFrom(from Sender, vector VersionVector, ranges ...entryRange) *ExchangeReply {
	return &ExchangeReply{From: from, Vector: encodeVector(&from, logsOf(vector)), Ranges: encodeRanges(&from, ranges)}
}

// requestFrom returns a request of a peer that holds a vector.
func requestFrom(from Sender, vector VersionVector, ranges ...entryRange) *ExchangeRequest {
	return &ExchangeRequest{From: from, Vector: encodeVector(&from, logsOf(vector)), Ranges: encodeRanges(&from, ranges)}
}

// persist makes durable what a node hands out, and returns the Ready afterwards, with the earlier exchanges.
func persist(node *Node, now time.Duration) Ready {
	before := node.Ready(now)
	node.HandlePersisted(len(before.Entries), now)
	after := node.Ready(now)
	after.Exchanges = append(before.Exchanges, after.Exchanges...)
	after.Acknowledged = append(before.Acknowledged, after.Acknowledged...)
	after.Replies = append(before.Replies, after.Replies...)
	return after
}

// mustAdd adds an operation.
func mustAdd(t *testing.T, node *Node, operation Operation, now time.Duration) AddID {
	t.Helper()
	id, err := node.Add(operation, now)
	if err != nil {
		t.Fatalf("%+v: %v", operation, err)
	}
	return id
}

// requireTotal checks a total.
func requireTotal(t *testing.T, node *Node, name, want string) {
	t.Helper()
	total, err := node.Total(name)
	if err != nil || total.String() != want {
		t.Fatalf("the total of %s is %v, %v, want %s", name, total, err, want)
	}
}

func TestTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		amounts := rapid.SliceOf(rapid.OneOf(rapid.Int64(), rapid.SampledFrom([]int64{math.MinInt64, math.MaxInt64, -1, 0, 1})))
		added := amounts.Draw(t, "added")
		subtracted := amounts.Draw(t, "subtracted")
		var total Total
		want := new(big.Int)
		for _, amount := range added {
			total = total.Add(amount)
			want.Add(want, big.NewInt(amount))
		}
		for _, amount := range subtracted {
			before := total
			total = total.Subtract(amount)
			want.Sub(want, big.NewInt(amount))
			if total.Compare(before) != -big.NewInt(amount).Sign() {
				t.Fatalf("%v after the subtraction of %d from %v", total, amount, before)
			}
		}
		if total.String() != want.String() {
			t.Fatalf("%v, want %v", total, want)
		}
	})
}

// TestJoin checks that the same entries give the same totals in any order of origins, any number of times, in pieces that
// overlap, and that of several operations of one ID the same counts.
func TestJoin(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		ids := rapid.SampledFrom([]string{"a", "b", "0c", "0d", "e", "f"})
		amounts := rapid.SampledFrom([]int64{1, 2, -7, math.MaxInt64, math.MinInt64})
		var all []entryRange
		for origin := range Origin(3) {
			drawn := entryRange{origin: origin + 10, first: 1}
			for range rapid.IntRange(1, 6).Draw(r, "size") {
				name := rapid.SampledFrom(counterNames).Draw(r, "counter")
				drawn.operations = append(drawn.operations, Operation{ids.Draw(r, "id"), name, amounts.Draw(r, "amount")})
			}
			all = append(all, drawn)
		}
		reference := newTestNode(t, Options{})
		reference.HandleRequest(requestFrom(sender(2, 2), nil, all...), testStart)
		persist(reference, testStart)
		other := newTestNode(t, Options{})
		for !sameVector(other.logs.vector(), reference.logs.vector()) {
			chosen := all[rapid.IntRange(0, len(all)-1).Draw(r, "range")]
			from := rapid.IntRange(0, len(chosen.operations)-1).Draw(r, "from")
			chosen.operations = chosen.operations[from:]
			chosen.first += uint64(from)
			other.HandleRequest(requestFrom(sender(2, 2), nil, chosen), testStart)
			if rapid.Bool().Draw(r, "persisted") {
				persist(other, testStart)
			}
		}
		for _, name := range counterNames {
			if reference.operations.total(name) != other.operations.total(name) {
				r.Fatalf("%s: %v and %v", name, reference.operations.total(name), other.operations.total(name))
			}
		}
	})
}

func TestAddAppliesOnceDurable(t *testing.T) {
	node := newTestNode(t, Options{})
	node.Tick(testStart + startGrace)
	now := testStart + startGrace
	id := mustAdd(t, node, Operation{"a", "t1", 4}, now)
	ready := node.Ready(now)
	want := Entry{Origin: 1, Sequence: 1, Operation: Operation{"a", "t1", 4}}
	if len(ready.Entries) != 1 || ready.Entries[0] != want || len(ready.Acknowledged) > 0 {
		t.Fatalf("%+v", ready)
	}
	requireTotal(t, node, "t1", "0")
	again := mustAdd(t, node, Operation{"a", "t1", 4}, now)
	if ready := node.Ready(now); len(ready.Entries) > 0 || len(ready.Acknowledged) > 0 {
		t.Fatalf("%+v", ready)
	}
	node.HandlePersisted(1, now)
	if ready := node.Ready(now); !slices.Equal(ready.Acknowledged, []AddID{id, again}) {
		t.Fatalf("%+v", ready)
	}
	requireTotal(t, node, "t1", "4")
	requireTotal(t, node, "unknown", "0")
}

func TestAddRejects(t *testing.T) {
	node := newTestNode(t, Options{MaxOperations: 2})
	now := testStart + startGrace
	node.Tick(now)
	mustAdd(t, node, Operation{"a", "t1", 4}, now)
	long := string(make([]byte, MaxIDSize+1))
	for _, operation := range []Operation{{"", "t1", 1}, {long, "t1", 1}, {"x", "", 1}, {"x", long, 1}} {
		if _, err := node.Add(operation, now); !errors.As(err, new(*InvalidOperationError)) {
			t.Errorf("%+v: %v", operation, err)
		}
	}
	for _, operation := range []Operation{{"a", "t1", 5}, {"a", "t2", 4}} {
		if _, err := node.Add(operation, now); !errors.Is(err, ErrConflict) {
			t.Errorf("%+v: %v", operation, err)
		}
	}
	mustAdd(t, node, Operation{"b", "t1", 1}, now)
	if _, err := node.Add(Operation{"c", "t1", 1}, now); !errors.Is(err, ErrFull) {
		t.Errorf("beyond the limit: %v", err)
	}
	mustAdd(t, node, Operation{"a", "t1", 4}, now)
	if entries := node.Ready(now).Entries; len(entries) != 2 {
		t.Errorf("%+v", entries)
	}
	node.HandleRequest(requestFrom(sender(2, 2), nil, entryRange{2, 1, []Operation{{"d", "t1", 9}}}), now)
	if entries := node.Ready(now).Entries; len(entries) != 1 {
		t.Errorf("entries of a peer beyond the limit: %+v", entries)
	}
}

// TestStalledDisk checks that nothing is accepted while a write takes long, and that a pause of the process is no stall.
func TestStalledDisk(t *testing.T) {
	node := newTestNode(t, Options{})
	now := testStart + startGrace
	node.Tick(now)
	mustAdd(t, node, Operation{"a", "t1", 4}, now)
	node.Ready(now)
	now += time.Minute // paused
	mustAdd(t, node, Operation{"b", "t1", 4}, now)
	for range 4 {
		now += diskStallLimit / 4
		node.Tick(now)
	}
	now++
	if _, err := node.Add(Operation{"c", "t1", 4}, now); !errors.Is(err, ErrNotReady) {
		t.Errorf("%v", err)
	}
	mustAdd(t, node, Operation{"a", "t1", 4}, now) // has been handed to the disk
	node.Ready(now)
	node.HandlePersisted(2, now)
	mustAdd(t, node, Operation{"c", "t1", 4}, now)
}

func TestNewNodeRejectsInvalidLogs(t *testing.T) {
	operation := Operation{"a", "t1", 4}
	for name, persisted := range map[string][]Entry{
		"gap":       {{1, 1, operation}, {1, 3, operation}},
		"twice":     {{1, 1, operation}, {1, 1, operation}},
		"origin 0":  {{0, 1, operation}},
		"operation": {{1, 1, Operation{}}},
	} {
		options := Options{Origin: 1, Address: testAddress(1)}
		if _, err := NewNode(options, persisted, 0); !errors.As(err, new(*InvalidLogError)) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, err := NewNode(Options{}, nil, 0); !errors.As(err, new(*InvalidLogError)) {
		t.Errorf("no origin: %v", err)
	}
}

func TestConflictingOperationsOfTwoSides(t *testing.T) {
	node := newTestNode(t, Options{Durability: Durability{Machines: 2, Zones: 1}})
	node.SetPeers(testPeers(2), testStart)
	node.Ready(testStart)
	node.HandleReply(testAddress(2), replyFrom(sender(2, 2), nil), testStart)
	loser := mustAdd(t, node, Operation{"a", "t1", 4}, testStart)
	persist(node, testStart)
	requireTotal(t, node, "t1", "4")
	node.HandleRequest(requestFrom(sender(2, 2), nil, entryRange{2, 1, []Operation{{"a", "t1", 3}}}), testStart)
	persist(node, testStart)
	requireTotal(t, node, "t1", "3")
	if _, err := node.Add(Operation{"a", "t1", 4}, testStart); !errors.Is(err, ErrConflict) {
		t.Errorf("the one that does not count is accepted: %v", err)
	}
	winner := mustAdd(t, node, Operation{"a", "t1", 3}, testStart)
	node.HandleRequest(requestFrom(sender(2, 2), VersionVector{1: 1, 2: 1}), testStart)
	if ready := node.Ready(testStart); !slices.Equal(ready.Acknowledged, []AddID{winner}) {
		t.Errorf("acknowledged %v, want %d and not %d", ready.Acknowledged, winner, loser)
	}
}

// TestGapsAndOwnOrigin checks that a range beyond the next sequence number changes nothing, nor one of the own origin.
func TestGapsAndOwnOrigin(t *testing.T) {
	node := newTestNode(t, Options{})
	operations := []Operation{{"a", "t1", 1}, {"b", "t1", 2}, {"c", "t1", 4}}
	node.HandleRequest(requestFrom(sender(2, 2), nil, entryRange{2, 2, operations}, entryRange{1, 1, operations}), testStart)
	if ready := persist(node, testStart); len(ready.Replies) != 1 || len(node.logs.vector()) > 0 {
		t.Fatalf("%+v, %v", ready, node.logs.vector())
	}
	node.HandleRequest(requestFrom(sender(2, 2), nil, entryRange{2, 1, operations[:2]}, entryRange{2, 2, operations[1:]}), testStart)
	persist(node, testStart)
	requireTotal(t, node, "t1", "7")
	if held := node.logs.vector(); !sameVector(held, VersionVector{2: 3}) {
		t.Errorf("%v", held)
	}
}

// TestMalformedMessages checks that they change nothing: a request is answered with an error, a reply is a failure.
func TestMalformedMessages(t *testing.T) {
	node := newTestNode(t, Options{})
	node.SetPeers(testPeers(2), testStart)
	node.Ready(testStart)
	bad := requestFrom(sender(2, 2), VersionVector{9: 9}, entryRange{2, 1, []Operation{{"a", "t1", 1}}})
	bad.Ranges[len(bad.Ranges)-1]++
	id := node.HandleRequest(bad, testStart)
	ready := node.Ready(testStart)
	if len(ready.Entries) > 0 || len(ready.Replies) != 1 || ready.Replies[0].ID != id || ready.Replies[0].Reply != nil {
		t.Fatalf("%+v", ready)
	}
	if !errors.As(ready.Replies[0].Err, new(*DecodeError)) {
		t.Errorf("%v", ready.Replies[0].Err)
	}
	misdirected := replyFrom(sender(3, 3), nil)
	node.HandleReply(testAddress(2), misdirected, testStart)
	if status := node.Status(); status.Peers[0].HasReplied || len(status.Peers[0].Ahead) > 0 || status.Peers[0].Origin != 0 {
		t.Errorf("%+v", status.Peers)
	}
}
