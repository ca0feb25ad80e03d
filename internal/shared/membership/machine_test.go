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
	someNames = []string{"a", "b", "c", "d", "me"}
	someAddrs = []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1"), netip.MustParseAddrPort("10.0.0.3:1")}
)

func record(t *rapid.T, label string) membership.Record {
	r := membership.Record{Name: rapid.SampledFrom(someNames).Draw(t, label+" name"), Addr: rapid.SampledFrom(someAddrs).Draw(t, label+" addr"),
		Life: rapid.Uint64Range(1, 5).Draw(t, label+" life"), Inc: rapid.SampledFrom([]uint64{0, 1, 2, 3, 1<<48 - 1}).Draw(t, label+" inc"),
		State: membership.State(rapid.IntRange(0, 3).Draw(t, label+" state")), By: rapid.SampledFrom(someNames).Draw(t, label+" by")}
	if rapid.Bool().Draw(t, label+" facts") {
		r.FactsOf = &membership.Facts{Seq: rapid.Uint64Range(0, 4).Draw(t, label+" seq"), Zone: "z"}
	}
	return r
}

// Whatever comes, in whatever order: the books add up, what goes out fits a datagram and can be read, and nobody is taken
// for dead on the own word of another about oneself.
func TestAnyMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := membership.New(membership.Options{Fleet: "f", Name: "me", Addr: someAddrs[0], Seeds: someAddrs[1:2], Period: 1, Life: 3, Seed: 7,
			Forget: rapid.SampledFrom([]float64{60, 3600}).Draw(t, "forget")})
		now := 100.0
		m.Start(now)
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 12).Draw(t, "what") {
			case 0, 1, 2, 3:
				now += rapid.SampledFrom([]float64{0.01, 0.2, 1, 5, 100}).Draw(t, "passes")
				m.Tick(now)
			case 4:
				m.SetFacts(now, membership.Facts{Zone: fmt.Sprint(i)})
			case 5:
				if rapid.IntRange(0, 5).Draw(t, "leaves") == 0 {
					m.Leave(now)
				}
			case 6:
				m.Rejoin(now)
			case 7:
				m.Slept(now)
			case 8:
				_ = m.Declare(now, rapid.SampledFrom(someNames).Draw(t, "declared"))
			default:
				msg := &membership.Message{Kind: membership.Kind(rapid.IntRange(1, 7).Draw(t, "kind")), Fleet: "f", From: record(t, "from"),
					N: rapid.Uint64Range(0, 200).Draw(t, "n"), View: rapid.Uint64Range(0, 2).Draw(t, "view"),
					Seq: rapid.Uint64Range(0, 5).Draw(t, "question"), Return: rapid.Bool().Draw(t, "return")}
				about := record(t, "about")
				msg.About = &about
				if msg.Kind == membership.Parts {
					msg.Parts = make([]uint64, 64)
				}
				for range rapid.IntRange(0, 4).Draw(t, "told") {
					msg.Tell = append(msg.Tell, record(t, "told"))
				}
				m.Receive(now, msg)
			}
			if wrong := m.Sound(); wrong != "" {
				t.Fatal(wrong)
			}
			for _, p := range m.Out() {
				b, err := membership.Encode(p.Msg)
				if err != nil {
					t.Fatalf("%+v: %v", p.Msg, err)
				}
				if _, err := membership.Decode("f", b); err != nil {
					t.Fatalf("%+v: %v", p.Msg, err)
				}
			}
			if m.Next() <= now-1 || math.IsNaN(m.Next()) {
				t.Fatalf("due at %v, now %v", m.Next(), now)
			}
		}
	})
}

// The same input gives the same output, bit for bit.
func TestSameInputSameOutput(t *testing.T) {
	play := func() (out [][]byte) {
		net := lossy(9, 12)
		net.Each = func(n *virtualcluster.Node) {
			b := []byte(fmt.Sprintf("%v %s %x", net.Now, n.Name, n.Machine.Digest()))
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

func example() *membership.Message {
	about := membership.Record{Name: "b", Addr: someAddrs[1], Life: 2, State: membership.Suspect, By: "c"}
	return &membership.Message{Kind: membership.Ping, Fleet: "f", From: membership.Record{Name: "a", Addr: someAddrs[0], Life: 1, Inc: 4}, N: 17, View: 1 << 63,
		Names: 3, Facts: 4, Seq: 5, About: &about, Tell: []membership.Record{{Name: "d", Addr: someAddrs[2], Life: 9, State: membership.Dead, Ago: 1.5,
			FactsOf: &membership.Facts{Seq: 2, Zone: "milano", Version: "v1", Serving: "serving", Console: "10.0.0.3:2"}}}}
}

func TestWhatIsWrittenIsRead(t *testing.T) {
	b, err := membership.Encode(example())
	if err != nil {
		t.Fatal(err)
	}
	got, err := membership.Decode("f", b)
	if d := cmp.Diff(example(), got, cmpopts.EquateComparable(netip.AddrPort{})); err != nil || d != "" {
		t.Error(err, d)
	}
	if _, err := membership.Decode("g", b); !errors.Is(err, membership.ErrForeign) {
		t.Errorf("another fleet's: %v", err)
	}
	for i := range b {
		bad := bytes.Clone(b)
		bad[i] ^= 0x40
		if _, err := membership.Decode("f", bad); err == nil {
			t.Errorf("a datagram with byte %d spoilt is taken", i)
		}
	}
	for n := range b {
		if _, err := membership.Decode("f", b[:n]); err == nil {
			t.Errorf("the first %d bytes are taken", n)
		}
	}
	if _, err := membership.Decode("f", make([]byte, membership.MostBytes+1)); !errors.Is(err, membership.ErrOversized) {
		t.Errorf("oversized: %v", err)
	}
}

// Nothing that comes by the network ends the reader, and what is taken can be written again.
func FuzzDecode(f *testing.F) {
	b, err := membership.Encode(example())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b[9:])
	f.Add([]byte{})
	f.Add([]byte{0xa1, 0x01, 0x01})
	f.Add([]byte{0xbf, 0x01, 0x01, 0xff})
	f.Fuzz(func(t *testing.T, body []byte) {
		m, err := membership.Decode("f", membership.Seal(body))
		if err != nil {
			return
		}
		if _, err := membership.Encode(m); err != nil {
			t.Fatalf("read, and cannot be written: %v", err)
		}
		machine := membership.New(membership.Options{Fleet: "f", Name: "me", Addr: someAddrs[0], Period: 1, Life: 3})
		machine.Start(0)
		machine.Receive(1, m)
		machine.Tick(2)
		if wrong := machine.Sound(); wrong != "" {
			t.Fatal(wrong)
		}
	})
}

// Word of a later start under one's own name, even as if from it, is not enough to withdraw: only an answer from there is.
func TestAClaimIsAskedFirst(t *testing.T) {
	start := func() *membership.Machine {
		m := membership.New(membership.Options{Fleet: "f", Name: "me", Addr: someAddrs[0], Period: 1, Life: 3})
		m.Start(0)
		m.Receive(1, &membership.Message{Kind: membership.News, Fleet: "f", N: 1, From: membership.Record{Name: "me", Addr: someAddrs[1], Life: 9}})
		return m
	}
	m := start()
	if m.Withdrawn() {
		t.Error("it withdrew before a datagram that anybody could have sent")
	}
	asked := uint64(0)
	for _, p := range m.Out() {
		if p.Msg.Kind == membership.Ping && p.To == someAddrs[1] {
			asked = p.Msg.Seq
		}
	}
	m.Receive(1.1, &membership.Message{Kind: membership.Ack, Fleet: "f", N: 2, Seq: asked, About: &membership.Record{Name: "me", Addr: someAddrs[1], Life: 9},
		From: membership.Record{Name: "me", Addr: someAddrs[1], Life: 9}})
	if asked == 0 || !m.Withdrawn() {
		t.Error("it does not withdraw before one that answers")
	}
	m = start()
	for now := 1.0; now < 10; now += 0.2 {
		m.Tick(now)
	}
	if m.Withdrawn() || m.Life != 10 {
		t.Errorf("nobody answers: life %d", m.Life)
	}
}

// Names that somebody makes up take a bounded room, and the loop's time stays bounded with it.
func TestMadeUpNames(t *testing.T) {
	m := membership.New(membership.Options{Fleet: "f", Name: "me", Addr: someAddrs[0], Period: 1, Life: 3})
	m.Start(0)
	for i := range uint64(1000) {
		msg := &membership.Message{Kind: membership.PingReq, Fleet: "f", N: i, From: membership.Record{Name: "liar", Addr: someAddrs[1], Life: 1},
			About: &membership.Record{Name: "x", Addr: someAddrs[2], Life: 1}}
		for j := range 20 {
			msg.Tell = append(msg.Tell, membership.Record{Name: fmt.Sprint("made up ", i, j), Addr: someAddrs[2], Life: 1})
		}
		m.Receive(1, msg)
	}
	if n := len(m.View().Members); n > 4097 || m.NoRoom < 15000 {
		t.Errorf("%d members, %d names not taken", n, m.NoRoom)
	}
	sent := 0
	for _, p := range m.Out() {
		if p.Msg.Kind == membership.Ping {
			sent++
		}
	}
	if sent > 256 {
		t.Errorf("%d questions in another's place", sent)
	}
}

// What was heard before is dropped, what comes late by a little is not; an earlier life's is dropped.
func TestRepeatsAndReplays(t *testing.T) {
	m := membership.New(membership.Options{Fleet: "f", Name: "me", Addr: someAddrs[0], Period: 1, Life: 3})
	m.Start(0)
	say := func(life, n uint64) {
		m.Receive(1, &membership.Message{Kind: membership.News, Fleet: "f", N: n, From: membership.Record{Name: "a", Addr: someAddrs[1], Life: life}})
	}
	for _, n := range []uint64{1, 2, 5, 3, 4, 100} {
		say(7, n)
	}
	if m.Repeated != 0 {
		t.Errorf("%d dropped that were new", m.Repeated)
	}
	for _, n := range []uint64{5, 3, 100, 20} { // the last one is older than what is kept in mind
		say(7, n)
	}
	if m.Repeated != 4 {
		t.Errorf("%d of 4 repeats dropped", m.Repeated)
	}
	if say(6, 101); m.Stale != 1 {
		t.Errorf("%d of 1 of an earlier life dropped", m.Stale)
	}
	if say(8, 1); m.Repeated != 4 || m.Stale != 1 {
		t.Error("the next life's first word is dropped")
	}
}
