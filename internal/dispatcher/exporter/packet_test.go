package exporter

import (
	"fmt"
	"testing"
	"time"

	"collectd.org/api"
	"collectd.org/network"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"cinderroad/internal/dispatcher/telemetry"
	"cinderroad/internal/testkit/receivers"
)

const testPassword = "geheim"

// passwordLookup gives every user the same password.
type passwordLookup string

// Password implements network.PasswordLookup.
func (p passwordLookup) Password(string) (string, error) { return string(p), nil }

// packetValue is a value in a packet, as a receiver reads it.
type packetValue struct {
	Name  string
	At    time.Time // rounded to a second
	Value float64
}

// TestPacketDecodes checks that collectd's own Go library and the fake receiver decode every packet, with each
// protection.
func TestPacketDecodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		security := rapid.SampledFrom([]Security{SecurityNone, SecuritySign, SecurityEncrypt}).Draw(t, "security")
		user := rapid.StringMatching(`[a-z]{1,20}`).Draw(t, "user")
		p, err := newPacket("n0", security, user, testPassword)
		if err != nil {
			t.Fatal(err)
		}
		want := drawValues(t, p)
		encoded := p.protect()
		if len(encoded) > packetSize {
			t.Fatalf("%d bytes", len(encoded))
		}
		if diff := cmp.Diff(want, decodeWithLibrary(t, encoded, security)); diff != "" {
			t.Fatalf("the library: %s", diff)
		}
		if diff := cmp.Diff(want, decodeWithFake(t, encoded, security, user)); diff != "" {
			t.Fatalf("the fake: %s", diff)
		}
	})
}

// drawValues fills a packet and returns the values that a receiver must read.
func drawValues(t *rapid.T, p *packet) (want []packetValue) {
	timestamp := rapid.Int64Range(1e6, 4e9).Draw(t, "seconds")*1000 + 250
	for i := range 200 {
		series := telemetry.Series{
			Name: fmt.Sprintf("a.b%d.%s", i, rapid.StringMatching(`[a-z_.]{0,80}`).Draw(t, "name")),
			Kind: telemetry.Kind(i % 2),
		}
		value := float64(rapid.Uint32().Draw(t, "v"))
		if series.Kind == telemetry.Gauge {
			value = -value / 3
		}
		if !p.add(series, timestamp, 10, value) {
			break
		}
		want = append(want, packetValue{
			Name:  "n0/cinderroad/" + typeOf(series.Kind) + "-" + typeInstance(series.Name),
			At:    time.UnixMilli(timestamp).Round(time.Second),
			Value: value,
		})
	}
	return want
}

// decodeWithLibrary decodes a packet with collectd's own Go library.
func decodeWithLibrary(t *rapid.T, encoded []byte, security Security) (values []packetValue) {
	levels := map[Security]network.SecurityLevel{
		SecurityNone:    network.None,
		SecuritySign:    network.Sign,
		SecurityEncrypt: network.Encrypt,
	}
	lists, err := network.Parse(encoded, network.ParseOpts{
		PasswordLookup: passwordLookup(testPassword),
		SecurityLevel:  levels[security],
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, list := range lists {
		value := 0.0
		switch v := list.Values[0].(type) {
		case api.Derive:
			value = float64(v)
		case api.Gauge:
			value = float64(v)
		}
		if list.Interval != 10*time.Second {
			t.Fatal(list.Interval)
		}
		values = append(values, packetValue{list.Identifier.String(), list.Time.Round(time.Second), value})
	}
	return values
}

// decodeWithFake decodes a packet with the fake receiver.
func decodeWithFake(t *rapid.T, encoded []byte, security Security, user string) (values []packetValue) {
	levels := map[Security]string{
		SecurityNone:    "none",
		SecuritySign:    "sign",
		SecurityEncrypt: "encrypt",
	}
	points, err := receivers.DecodePacket(encoded, levels[security], map[string]string{user: testPassword})
	if err != nil {
		t.Fatal(err)
	}
	for _, point := range points {
		at := time.UnixMilli(int64(point.Time*1000 + 0.5)).Round(time.Second)
		values = append(values, packetValue{point.Series, at, point.Value})
	}
	return values
}

// FuzzDecodePacket checks that truncated packets don't crash the fake receiver, and that it accepts nothing
// unprotected.
func FuzzDecodePacket(f *testing.F) {
	for _, security := range []Security{SecurityNone, SecuritySign, SecurityEncrypt} {
		p, err := newPacket("n0", security, "u", "p")
		if err != nil {
			f.Fatal(err)
		}
		for i := range 3 {
			p.add(telemetry.Series{Name: fmt.Sprint("a.", i), Kind: telemetry.Kind(i % 2)}, 1e12, 10, 7)
		}
		f.Add(p.protect())
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		for i := range len(b) {
			_, _ = receivers.DecodePacket(b[:i], "none", map[string]string{"u": "p"})
		}
		if points, err := receivers.DecodePacket(b, "encrypt", map[string]string{"u": "other"}); len(points) > 0 {
			t.Fatalf("%d points without the key: %v", len(points), err)
		}
	})
}

func FuzzDecodePickle(f *testing.F) {
	f.Add([]byte("(lp0\n(Va\np1\n(I5\nF1.5\ntta."))
	f.Add([]byte{0x80, 2, ']', '(', 'X', 1, 0, 0, 0, 'a', 'K', 1, 'K', 2, 0x86, 0x86, 'e', '.'})
	f.Fuzz(func(t *testing.T, b []byte) { _, _ = receivers.DecodePickle(b) })
}
