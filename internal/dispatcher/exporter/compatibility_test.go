package exporter

import (
	"testing"

	"cinderroad/internal/compatibility"
	"cinderroad/internal/dispatcher/telemetry"
)

// TestRecordedBytes compares what receivers are sent with the recorded bytes.
func TestRecordedBytes(t *testing.T) {
	const stamp = 1_700_000_000_250
	counter := telemetry.Series{Name: "classes.score.answers.in_time", Kind: telemetry.Counter}
	gauge := telemetry.Series{Name: "reqs.open", Kind: telemetry.Gauge}
	for name, security := range map[string]Security{"collectd-plain": SecurityNone, "collectd-signed": SecuritySign} {
		p, err := newPacket("n0", security, "user", "password")
		if err != nil {
			t.Fatal(err)
		}
		if !p.add(counter, stamp, 10, 40) || !p.add(gauge, stamp, 10, 0.5) {
			t.Fatal("no room")
		}
		compatibility.PackageFolder.Check(t, name, p.protect())
	}
	table := &telemetry.SeriesTable{}
	table.Append(counter, gauge)
	period := &telemetry.Period{Timestamp: stamp, Interval: 10, Table: table, EncodedValues: []byte{2, 42, 1, 0, 0, 0, 0x3f}} // 40 and 0.5
	for name, pickle := range map[string]bool{"graphite-lines": false, "graphite-pickle": true} {
		g := NewGraphite(GraphiteOptions{Pickle: pickle})
		g.prefix = "cinderroad.n0."
		g.period = period
		g.reader = period.Read()
		b, points, _ := g.render(nil)
		if points != 2 {
			t.Errorf("%s: %d points", name, points)
		}
		compatibility.PackageFolder.Check(t, name, b)
	}
}
