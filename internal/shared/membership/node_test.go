package membership_test

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"cinderroad/internal/shared/membership"
	"cinderroad/internal/testkit/virtualcluster"
)

var (
	testNames = []string{"a", "b", "c", "d", "me"}
	testAddrs = []netip.AddrPort{
		netip.MustParseAddrPort("10.0.0.1:1"),
		netip.MustParseAddrPort("10.0.0.2:1"),
		netip.MustParseAddrPort("10.0.0.3:1"),
	}
)

func drawRecord(t *rapid.T, label string) membership.Record {
	r := membership.Record{
		Name:        rapid.SampledFrom(testNames).Draw(t, label+" name"),
		Addr:        rapid.SampledFrom(testAddrs).Draw(t, label+" addr"),
		Generation:  rapid.Uint64Range(1, 5).Draw(t, label+" generation"),
		Incarnation: rapid.SampledFrom([]uint64{0, 1, 2, 3, 1<<48 - 1}).Draw(t, label+" incarnation"),
		State:       membership.State(rapid.IntRange(0, 3).Draw(t, label+" state")),
		SuspectedBy: rapid.SampledFrom(testNames).Draw(t, label+" by"),
	}
	if rapid.Bool().Draw(t, label+" metadata") {
		r.Metadata = &membership.Metadata{Seq: rapid.Uint64Range(0, 4).Draw(t, label+" seq"), Zone: "z"}
	}
	return r
}

func drawMessage(t *rapid.T) *membership.Message {
	msg := &membership.Message{
		Kind:         membership.Kind(rapid.IntRange(1, 7).Draw(t, "kind")),
		Cluster:      "f",
		From:         drawRecord(t, "from"),
		Number:       rapid.Uint64Range(0, 200).Draw(t, "n"),
		ViewDigest:   rapid.Uint64Range(0, 2).Draw(t, "view"),
		Seq:          rapid.Uint64Range(0, 5).Draw(t, "question"),
		WantsDigests: rapid.Bool().Draw(t, "return"),
	}
	about := drawRecord(t, "about")
	msg.Subject = &about
	if msg.Kind == membership.Digests {
		msg.ShardDigests = make([]uint64, 64)
	}
	for range rapid.IntRange(0, 4).Draw(t, "told") {
		msg.Records = append(msg.Records, drawRecord(t, "told"))
	}
	return msg
}

// newNode returns a started node named "me" of generation 3 that knows nobody.
func newNode() *membership.Node {
	node := membership.New(membership.Options{
		Cluster:       "f",
		Name:          "me",
		Addr:          testAddrs[0],
		ProbeInterval: 1,
		Generation:    3,
	})
	node.Start(0)
	return node
}

// TestAnyMessages plays random calls and messages: the invariants hold, what is sent fits a datagram and can be
// decoded, and no message of another member changes this one's own state.
func TestAnyMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		node := membership.New(membership.Options{
			Cluster:       "f",
			Name:          "me",
			Addr:          testAddrs[0],
			Seeds:         testAddrs[1:2],
			ProbeInterval: 1,
			Generation:    3,
			RandomSeed:    7,
			DeadTTL:       rapid.SampledFrom([]float64{60, 3600}).Draw(t, "forget"),
		})
		now := 100.0
		node.Start(now)
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 12).Draw(t, "what") {
			case 0, 1, 2, 3:
				now += rapid.SampledFrom([]float64{0.01, 0.2, 1, 5, 100}).Draw(t, "passes")
				node.Tick(now)
			case 4:
				node.SetMetadata(now, membership.Metadata{Zone: fmt.Sprint(i)})
			case 5:
				if rapid.IntRange(0, 5).Draw(t, "leaves") == 0 {
					node.Leave(now)
				}
			case 6:
				node.Rejoin(now)
			case 7:
				node.HandlePause(now)
			case 8:
				_ = node.DeclareLeft(now, rapid.SampledFrom(testNames).Draw(t, "declared"))
			default:
				node.HandleMessage(now, drawMessage(t))
			}
			if wrong := node.CheckInvariants(); wrong != "" {
				t.Fatal(wrong)
			}
			for _, p := range node.TakePackets() {
				b, err := membership.Encode(p.Message)
				if err != nil {
					t.Fatalf("%+v: %v", p.Message, err)
				}
				if _, err := membership.Decode("f", b); err != nil {
					t.Fatalf("%+v: %v", p.Message, err)
				}
			}
			if node.NextTick() <= now-1 || math.IsNaN(node.NextTick()) {
				t.Fatalf("due at %v, now %v", node.NextTick(), now)
			}
		}
	})
}

// TestDeterminism checks that the same input gives the same output, bit for bit.
func TestDeterminism(t *testing.T) {
	play := func() (out [][]byte) {
		net := newLossyNet(9, 12)
		net.AfterEvent = func(n *virtualcluster.Node) {
			b := []byte(fmt.Sprintf("%v %s %x", net.Now, n.Name, n.Membership.Digest()))
			out = append(out, b)
		}
		net.StartAll(1)
		net.Run(net.Now + 20)
		net.Kill(net.Nodes[4])
		net.Run(net.Now + 40)
		return out
	}
	a, b := play(), play()
	if len(a) != len(b) || len(a) < 1000 {
		t.Fatalf("%d and %d events", len(a), len(b))
	}
	for i := range a {
		if !bytes.Equal(a[i], b[i]) {
			t.Fatalf("event %d: %s and %s", i, a[i], b[i])
		}
	}
}

func exampleMessage() *membership.Message {
	about := membership.Record{Name: "b", Addr: testAddrs[1], Generation: 2, State: membership.Suspect, SuspectedBy: "c"}
	dead := membership.Record{
		Name:       "d",
		Addr:       testAddrs[2],
		Generation: 9,
		State:      membership.Dead,
		DeadFor:    1.5,
		Metadata: &membership.Metadata{
			Seq:     2,
			Zone:    "milano",
			Version: "v1",
			Serving: "serving",
			Console: "10.0.0.3:2",
		},
	}
	return &membership.Message{
		Kind:           membership.Ping,
		Cluster:        "f",
		From:           membership.Record{Name: "a", Addr: testAddrs[0], Generation: 1, Incarnation: 4},
		Number:         17,
		ViewDigest:     1 << 63,
		NamesDigest:    3,
		MetadataDigest: 4,
		Seq:            5,
		Subject:        &about,
		Records:        []membership.Record{dead},
	}
}

func TestEncodeDecode(t *testing.T) {
	b, err := membership.Encode(exampleMessage())
	if err != nil {
		t.Fatal(err)
	}
	got, err := membership.Decode("f", b)
	if d := cmp.Diff(exampleMessage(), got, cmpopts.EquateComparable(netip.AddrPort{})); err != nil || d != "" {
		t.Error(err, d)
	}
	if _, err := membership.Decode("g", b); !errors.Is(err, membership.ErrOtherCluster) {
		t.Errorf("another cluster's: %v", err)
	}
	for i := range b {
		bad := bytes.Clone(b)
		bad[i] ^= 0x40
		if _, err := membership.Decode("f", bad); err == nil {
			t.Errorf("a datagram with byte %d corrupted is accepted", i)
		}
	}
	for n := range b {
		if _, err := membership.Decode("f", b[:n]); err == nil {
			t.Errorf("the first %d bytes are accepted", n)
		}
	}
	if _, err := membership.Decode("f", make([]byte, membership.MaxDatagramSize+1)); !errors.Is(err, membership.ErrOversized) {
		t.Errorf("oversized: %v", err)
	}
}

// FuzzDecode checks that no datagram makes Decode or a node panic, and that what is decoded can be encoded.
func FuzzDecode(f *testing.F) {
	b, err := membership.Encode(exampleMessage())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b[9:])
	f.Add([]byte{})
	f.Add([]byte{0xa1, 0x01, 0x01})
	f.Add([]byte{0xbf, 0x01, 0x01, 0xff})
	f.Fuzz(func(t *testing.T, body []byte) {
		message, err := membership.Decode("f", membership.Seal(body))
		if err != nil {
			return
		}
		if _, err := membership.Encode(message); err != nil {
			t.Fatalf("read, and cannot be written: %v", err)
		}
		node := newNode()
		node.HandleMessage(1, message)
		node.Tick(2)
		if wrong := node.CheckInvariants(); wrong != "" {
			t.Fatal(wrong)
		}
	})
}

// TestNameClaimIsVerified checks that a record of a later start under one's own name, even as if from there, is not
// enough to withdraw: only an ack from its address is.
func TestNameClaimIsVerified(t *testing.T) {
	claimant := membership.Record{Name: "me", Addr: testAddrs[1], Generation: 9}
	start := func() *membership.Node {
		node := newNode()
		node.HandleMessage(1, &membership.Message{Kind: membership.Update, Cluster: "f", Number: 1, From: claimant})
		return node
	}
	node := start()
	if node.Withdrawn() {
		t.Error("it withdrew before a datagram that anybody could have sent")
	}
	pingSeq := uint64(0)
	for _, p := range node.TakePackets() {
		if p.Message.Kind == membership.Ping && p.To == testAddrs[1] {
			pingSeq = p.Message.Seq
		}
	}
	node.HandleMessage(1.1, &membership.Message{
		Kind:    membership.Ack,
		Cluster: "f",
		Number:  2,
		Seq:     pingSeq,
		Subject: &claimant,
		From:    claimant,
	})
	if pingSeq == 0 || !node.Withdrawn() {
		t.Error("it does not withdraw before one that answers")
	}
	node = start()
	for now := 1.0; now < 10; now += 0.2 {
		node.Tick(now)
	}
	if node.Withdrawn() || node.Generation != 10 {
		t.Errorf("nobody answers: generation %d", node.Generation)
	}
}

// TestForgedNamesAreBounded checks that forged names and requests take bounded memory.
func TestForgedNamesAreBounded(t *testing.T) {
	node := newNode()
	for i := range uint64(1000) {
		msg := &membership.Message{
			Kind:    membership.IndirectPing,
			Cluster: "f",
			Number:  i,
			From:    membership.Record{Name: "liar", Addr: testAddrs[1], Generation: 1},
			Subject: &membership.Record{Name: "x", Addr: testAddrs[2], Generation: 1},
		}
		for j := range 20 {
			name := fmt.Sprint("made up ", i, j)
			msg.Records = append(msg.Records, membership.Record{Name: name, Addr: testAddrs[2], Generation: 1})
		}
		node.HandleMessage(1, msg)
	}
	if n := len(node.View().Members); n > 4097 || node.RejectedNames < 15000 {
		t.Errorf("%d members, %d names rejected", n, node.RejectedNames)
	}
	sent := 0
	for _, p := range node.TakePackets() {
		if p.Message.Kind == membership.Ping {
			sent++
		}
	}
	if sent > 256 {
		t.Errorf("%d pings on behalf of others", sent)
	}
}

// TestDuplicatesAndReplays checks that messages received before and messages of an earlier generation are dropped, and
// that messages out of order by a little are not.
func TestDuplicatesAndReplays(t *testing.T) {
	node := newNode()
	receive := func(generation, number uint64) {
		from := membership.Record{Name: "a", Addr: testAddrs[1], Generation: generation}
		node.HandleMessage(1, &membership.Message{Kind: membership.Update, Cluster: "f", Number: number, From: from})
	}
	for _, n := range []uint64{1, 2, 5, 3, 4, 100} {
		receive(7, n)
	}
	if node.Duplicates != 0 {
		t.Errorf("%d dropped that were new", node.Duplicates)
	}
	for _, n := range []uint64{5, 3, 100, 20} { // the last one is beyond the window
		receive(7, n)
	}
	if node.Duplicates != 4 {
		t.Errorf("%d of 4 repeats dropped", node.Duplicates)
	}
	receive(6, 101)
	if node.Stale != 1 {
		t.Errorf("%d of 1 of an earlier generation dropped", node.Stale)
	}
	receive(8, 1)
	if node.Duplicates != 4 || node.Stale != 1 {
		t.Error("the first message of the next generation is dropped")
	}
}

// TestDeclareLeftErrors: callers can tell a name that nobody has from a member that is not dead.
func TestDeclareLeftErrors(t *testing.T) {
	node := newNode()
	var unknown *membership.UnknownMemberError
	if err := node.DeclareLeft(2, "b"); !errors.As(err, &unknown) || unknown.Name != "b" {
		t.Errorf("a name that nobody has: %v", err)
	}
	from := membership.Record{Name: "a", Addr: testAddrs[1], Generation: 7}
	node.HandleMessage(1, &membership.Message{Kind: membership.Update, Cluster: "f", Number: 1, From: from})
	var notDead *membership.NotDeadError
	if err := node.DeclareLeft(2, "a"); !errors.As(err, &notDead) || notDead.State != membership.Alive {
		t.Errorf("a member that is alive: %v", err)
	}
}
