package grpcbalancer

import (
	"testing"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"cinderroad/loadbalancer"
)

// TestTrailers pins the trailers that servers set, by their names on the wire and by what they mean.
func TestTrailers(t *testing.T) {
	unavailable := status.Error(codes.Unavailable, "busy")
	for _, tc := range []struct {
		trailer metadata.MD
		err     error
		want    loadbalancer.Result
	}{
		{metadata.Pairs("x-rejected", "1"), unavailable, loadbalancer.Rejected},
		{metadata.Pairs("x-rejected", "0"), unavailable, loadbalancer.Reset},
		{metadata.Pairs("x-rejected", "1", "x-rejected", "1"), unavailable, loadbalancer.Reset},
		{metadata.Pairs("x-rejected", "1"), nil, loadbalancer.OK},
	} {
		if got := resultOf(tc.err, tc.trailer, false); got != tc.want {
			t.Errorf("%v with %v: %v, want %v", tc.trailer, tc.err, got, tc.want)
		}
	}
	d := &Dispatcher{options: Options{Fields: []string{"in_flight", "utilization", "queued"}}}
	report := d.parseReport(metadata.Pairs("x-load-report", `{"queued":3,"in_flight":7,"other":1}`))
	if len(report) != 3 || report[0] != 7 || report[1] != -1 || report[2] != 3 {
		t.Errorf("load report %v, want 7, none and 3", report)
	}
}
