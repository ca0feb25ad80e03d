package membership

import (
	"net/netip"
	"strings"
	"testing"
)

func metadataMessage(metadata Metadata) *Message {
	record := Record{Name: "edge-1", Addr: netip.MustParseAddrPort("10.0.0.1:7661"), Generation: 1, Metadata: &metadata}
	from := record
	from.Metadata = nil
	return &Message{Kind: Update, Cluster: "fleet", From: from, Number: 1, Records: []Record{record}}
}

func TestMetadataEncodeDecode(t *testing.T) {
	metadata := Metadata{Seq: 2, Zone: "a1", Serving: "serving", Role: "edge", Front: "10.0.0.1:8144"}
	datagram, err := Encode(metadataMessage(metadata))
	if err != nil {
		t.Fatal(err)
	}
	message, err := Decode("fleet", datagram)
	if err != nil {
		t.Fatal(err)
	}
	if got := *message.Records[0].Metadata; got != metadata {
		t.Errorf("metadata is %+v, want %+v", got, metadata)
	}
}

func TestMetadataIsBounded(t *testing.T) {
	for _, metadata := range []Metadata{
		{Role: strings.Repeat("x", maxRoleLength+1)},
		{Front: strings.Repeat("x", maxFrontLength+1)},
	} {
		datagram, err := Encode(metadataMessage(metadata))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Decode("fleet", datagram); err == nil {
			t.Errorf("%+v is accepted", metadata)
		}
	}
	longest := Metadata{
		Seq:          1 << 62,
		Zone:         strings.Repeat("x", maxZoneLength),
		Version:      strings.Repeat("x", maxVersionLength),
		Serving:      strings.Repeat("x", maxServingLength),
		Console:      strings.Repeat("x", maxConsoleLength),
		SettingsHash: strings.Repeat("x", maxHashLength),
		OperatorHash: strings.Repeat("x", maxHashLength),
		ExcludedHash: strings.Repeat("x", maxHashLength),
		OperatorAt:   1 << 31,
		ExcludedAt:   1 << 31,
		Lease:        1,
		Role:         strings.Repeat("x", maxRoleLength),
		Front:        strings.Repeat("x", maxFrontLength),
	}
	message := metadataMessage(longest)
	alone, err := Encode(&Message{Kind: Update, Cluster: "fleet", From: message.From, Number: 1})
	if err != nil {
		t.Fatal(err)
	}
	with, err := Encode(message)
	if err != nil {
		t.Fatal(err)
	}
	if took, room := len(with)-len(alone), message.Records[0].maxEncodedSize(); took > room {
		t.Errorf("a record takes %d bytes, maxEncodedSize is %d", took, room)
	}
}

func TestTicksPerProbe(t *testing.T) {
	for ticks, want := range map[int]float64{0: 0.2, 2: 0.5, 10: 0.1} {
		node := New(Options{
			Cluster:       "fleet",
			Name:          "one",
			Addr:          netip.MustParseAddrPort("10.0.0.1:1"),
			ProbeInterval: 1,
			TicksPerProbe: ticks,
			Generation:    1,
		})
		node.Start(10)
		at := node.NextTick()
		node.Tick(at)
		if got := node.NextTick() - at; got < want-1e-9 || got > want+1e-9 {
			t.Errorf("with %d ticks in a probe interval of 1 s the next tick is after %v s, want %v", ticks, got, want)
		}
	}
}

func TestAnnounce(t *testing.T) {
	node := New(Options{
		Cluster:       "fleet",
		Name:          "one",
		Addr:          netip.MustParseAddrPort("10.0.0.1:1"),
		ProbeInterval: 1,
		Generation:    1,
	})
	node.Start(10)
	for i, role := range []string{"control", "edge", "control"} {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), 1)
		record := Record{Name: address.String(), Addr: address, Generation: 1, Metadata: &Metadata{Seq: 1, Role: role}}
		from := record
		from.Metadata = nil
		node.HandleMessage(10, &Message{
			Kind:    Update,
			Cluster: "fleet",
			From:    from,
			Number:  1,
			Records: []Record{record},
		})
	}
	node.TakePackets()
	before := node.MetadataDigest()
	node.SetMetadata(11, Metadata{Serving: "stopping"})
	if node.MetadataDigest() == before {
		t.Error("other metadata has the same digest")
	}
	node.Announce(11, func(r *Record) bool { return r.Metadata != nil && r.Metadata.Role == "control" })
	notified := map[netip.Addr]bool{}
	for _, packet := range node.TakePackets() {
		for i := range packet.Message.Records {
			if metadata := packet.Message.Records[i].Metadata; metadata != nil && metadata.Serving == "stopping" {
				notified[packet.To.Addr()] = true
			}
		}
	}
	if len(notified) != 2 || notified[netip.AddrFrom4([4]byte{10, 0, 1, 1})] {
		t.Errorf("notified are %v, want the two control members", notified)
	}
}
