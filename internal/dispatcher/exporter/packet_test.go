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

type password string

func (p password) Password(string) (string, error) { return string(p), nil }

// TestPacketDecodes checks that collectd's own Go library and the fake receiver decode every packet, with each
// protection.
func TestPacketDecodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		security := rapid.SampledFrom([]Security{SecurityNone, SecuritySign, SecurityEncrypt}).Draw(t, "security")
		user := rapid.StringMatching(`[a-z]{1,20}`).Draw(t, "user")
		p, err := newPacket("n0", security, user, "geheim")
		if err != nil {
			t.Fatal(err)
		}
		type value struct {
			Name string
			At   time.Time
			V    float64
		}
		var want, got, there []value
		stamp := rapid.Int64Range(1e6, 4e9).Draw(t, "seconds")*1000 + 250
		for i := range 200 {
			s := telemetry.Series{
				Name: fmt.Sprintf("a.b%d.%s", i, rapid.StringMatching(`[a-z_.]{0,80}`).Draw(t, "name")),
				Kind: telemetry.Kind(i % 2),
			}
			v := float64(rapid.Uint32().Draw(t, "v"))
			if s.Kind == telemetry.Gauge {
				v = -v / 3
			}
			if !p.add(s, stamp, 10, v) {
				break
			}
			want = append(want, value{
				"n0/cinderroad/" + typeOf(s.Kind) + "-" + typeInstance(s.Name),
				time.UnixMilli(stamp).Round(time.Second),
				v,
			})
		}
		b := p.protect()
		if len(b) > packetSize {
			t.Fatalf("%d bytes", len(b))
		}
		lists, err := network.Parse(b, network.ParseOpts{
			PasswordLookup: password("geheim"),
			SecurityLevel: map[Security]network.SecurityLevel{
				SecurityNone:    network.None,
				SecuritySign:    network.Sign,
				SecurityEncrypt: network.Encrypt,
			}[security],
		})
		if err != nil {
			t.Fatal(err)
		}
		for _, l := range lists {
			v := 0.0
			switch x := l.Values[0].(type) {
			case api.Derive:
				v = float64(x)
			case api.Gauge:
				v = float64(x)
			}
			if l.Interval != 10*time.Second {
				t.Fatal(l.Interval)
			}
			got = append(got, value{l.Identifier.String(), l.Time.Round(time.Second), v})
		}
		points, err := receivers.DecodePacket(b, map[Security]string{
			SecurityNone:    "none",
			SecuritySign:    "sign",
			SecurityEncrypt: "encrypt",
		}[security], map[string]string{user: "geheim"})
		if err != nil {
			t.Fatal(err)
		}
		for _, q := range points {
			there = append(there, value{q.Series, time.UnixMilli(int64(q.Time*1000 + 0.5)).Round(time.Second), q.Value})
		}
		if d := cmp.Diff(want, got); d != "" {
			t.Fatalf("the library: %s", d)
		}
		if d := cmp.Diff(want, there); d != "" {
			t.Fatalf("the fake: %s", d)
		}
	})
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
