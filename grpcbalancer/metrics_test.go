package grpcbalancer

import (
	"context"
	"testing"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"cinderroad/loadbalancer"
)

// The metrics are those of the dispatcher, under the same names; totals continue, latencies begin a new period.
func TestMetrics(t *testing.T) {
	r := newRig(t, loadbalancer.RetrySafe, 2)
	r.script = func(n int, _ *server, _ context.Context) error {
		if n == 1 {
			return status.Error(codes.Internal, "once")
		}
		return nil
	}
	for range 3 {
		if err := r.check(5 * time.Second); err != nil {
			t.Fatal(err)
		}
	}
	read := func() map[string]Metric {
		all := map[string]Metric{}
		for _, f := range r.dispatcher.Metrics() {
			all[f.Name] = f
		}
		return all
	}
	got := read()
	answers := got["classes.check.answers.in_time"].Value + got["classes.check.answers.late"].Value
	ends := got["classes.check.fetches.end_ok"].Value + got["classes.check.fetches.end_error"].Value
	nodes := 0.0
	for _, slot := range []string{"0.0.0", "0.1.0", "none.0.0", "none.1.0"} {
		nodes += got["nodes.here."+slot+".ended"].Value
	}
	if answers != 3 || ends != 4 || nodes != 4 || got["classes.check.fetches.repeats"].Value != 1 {
		t.Errorf("%v answers, %v ends, %v of them by node: %v", answers, ends, nodes, got)
	}
	if _, there := got["classes.check.latency.p50_ms"]; !there || !got["classes.check.answers.in_time"].Counter {
		t.Error("no latency, or a total that is no counter")
	}
	again := read()
	if _, there := again["classes.check.latency.p50_ms"]; there || again["classes.check.fetches.end_ok"].Value != 3 {
		t.Error("a latency without answers, or a total that did not go on")
	}
	off, err := New(Options{Settings: r.dispatcher.options.Settings, Class: r.dispatcher.options.Class})
	if err != nil {
		t.Fatal(err)
	}
	defer off.Close()
	if f := off.Metrics(); f != nil {
		t.Errorf("%d metrics, want none", len(f))
	}
}
