package exporter

import (
	"bytes"
	"testing"

	"cinderroad/internal/compatibility"
	"cinderroad/internal/dispatcher/telemetry"
	"cinderroad/internal/testkit/receivers"
)

// TestRecordedEncryptedPacket checks that a receiver reads the recorded packet, and one of today, as the same points. The
// bytes differ: each packet has an initialization vector of its own.
func TestRecordedEncryptedPacket(t *testing.T) {
	p, err := newPacket("n0", SecurityEncrypt, "user", "password")
	if err != nil {
		t.Fatal(err)
	}
	counter := telemetry.Series{Name: "classes.score.answers.in_time", Kind: telemetry.Counter}
	if !p.add(counter, 1_700_000_000_250, 10, 40) {
		t.Fatal("no room")
	}
	fresh := bytes.Clone(p.protect())
	recorded := compatibility.PackageFolder.Record(t, "collectd-encrypted", fresh)
	if len(recorded) != len(fresh) {
		t.Errorf("%d bytes, recorded are %d", len(fresh), len(recorded))
	}
	var points [2][]receivers.Point
	for i, packet := range [][]byte{recorded, fresh} {
		points[i], err = receivers.DecodePacket(packet, "encrypt", map[string]string{"user": "password"})
		if err != nil {
			t.Fatal(err)
		}
	}
	if len(points[0]) != 1 || len(points[1]) != 1 || points[0][0] != points[1][0] || points[0][0].Value != 40 {
		t.Errorf("read as %+v, recorded as %+v", points[1], points[0])
	}
}
