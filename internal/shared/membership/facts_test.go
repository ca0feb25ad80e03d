package membership

import (
	"net/netip"
	"strings"
	"testing"
)

func factsMessage(facts Facts) *Message {
	record := Record{Name: "edge-1", Addr: netip.MustParseAddrPort("10.0.0.1:7661"), Life: 1, FactsOf: &facts}
	from := record
	from.FactsOf = nil
	return &Message{Kind: News, Fleet: "fleet", From: from, N: 1, Tell: []Record{record}}
}

func TestRoleAndFrontTravel(t *testing.T) {
	facts := Facts{Seq: 2, Zone: "a1", Serving: "serving", Role: "edge", Front: "10.0.0.1:8144"}
	datagram, err := Encode(factsMessage(facts))
	if err != nil {
		t.Fatal(err)
	}
	message, err := Decode("fleet", datagram)
	if err != nil {
		t.Fatal(err)
	}
	if got := *message.Tell[0].FactsOf; got != facts {
		t.Errorf("facts are %+v, want %+v", got, facts)
	}
}

func TestRoleAndFrontAreBounded(t *testing.T) {
	for _, facts := range []Facts{{Role: strings.Repeat("x", mostRole+1)}, {Front: strings.Repeat("x", mostFront+1)}} {
		datagram, err := Encode(factsMessage(facts))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Decode("fleet", datagram); err == nil {
			t.Errorf("%+v is taken", facts)
		}
	}
	longest := Facts{Seq: 1 << 62, Zone: strings.Repeat("x", mostZone), Version: strings.Repeat("x", mostVersion),
		Serving: strings.Repeat("x", mostServing), Console: strings.Repeat("x", mostConsole), Settings: strings.Repeat("x", mostHash),
		Operator: strings.Repeat("x", mostHash), Excluded: strings.Repeat("x", mostHash), OperatorAt: 1 << 31, ExcludedAt: 1 << 31,
		Lease: 1, Role: strings.Repeat("x", mostRole), Front: strings.Repeat("x", mostFront)}
	message := factsMessage(longest)
	alone, err := Encode(&Message{Kind: News, Fleet: "fleet", From: message.From, N: 1})
	if err != nil {
		t.Fatal(err)
	}
	with, err := Encode(message)
	if err != nil {
		t.Fatal(err)
	}
	if took, room := len(with)-len(alone), message.Tell[0].room(); took > room {
		t.Errorf("a record takes %d bytes, %d are reckoned", took, room)
	}
}

func TestStepsSetThePace(t *testing.T) {
	for steps, want := range map[int]float64{0: 0.2, 2: 0.5, 10: 0.1} {
		m := New(Options{Fleet: "fleet", Name: "one", Addr: netip.MustParseAddrPort("10.0.0.1:1"), Period: 1, Steps: steps, Life: 1})
		m.Start(10)
		at := m.Next()
		m.Tick(at)
		if got := m.Next() - at; got < want-1e-9 || got > want+1e-9 {
			t.Errorf("with %d steps in a period of 1 s the next look is after %v s, want %v", steps, got, want)
		}
	}
}

func TestAnnounceGoesToThoseMeant(t *testing.T) {
	m := New(Options{Fleet: "fleet", Name: "one", Addr: netip.MustParseAddrPort("10.0.0.1:1"), Period: 1, Life: 1})
	m.Start(10)
	for i, role := range []string{"control", "edge", "control"} {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), 1)
		record := Record{Name: address.String(), Addr: address, Life: 1, FactsOf: &Facts{Seq: 1, Role: role}}
		from := record
		from.FactsOf = nil
		m.Receive(10, &Message{Kind: News, Fleet: "fleet", From: from, N: 1, Tell: []Record{record}})
	}
	m.Out()
	before := m.FactsDigest()
	m.SetFacts(11, Facts{Serving: "stopping"})
	if m.FactsDigest() == before {
		t.Error("other facts have the same digest")
	}
	m.Announce(11, func(r *Record) bool { return r.FactsOf != nil && r.FactsOf.Role == "control" })
	told := map[netip.Addr]bool{}
	for _, packet := range m.Out() {
		for i := range packet.Msg.Tell {
			if facts := packet.Msg.Tell[i].FactsOf; facts != nil && facts.Serving == "stopping" {
				told[packet.To.Addr()] = true
			}
		}
	}
	if len(told) != 2 || told[netip.AddrFrom4([4]byte{10, 0, 1, 1})] {
		t.Errorf("told are %v, want the two control members", told)
	}
}
