package exporter

import (
	"net/netip"
	"os"
	"testing"
)

// TestOutputsHoldNothingBeforeTheirStart: an output that a reload has built and then does not use needs no closing.
func TestOutputsHoldNothingBeforeTheirStart(t *testing.T) {
	openDescriptors := func() int {
		t.Helper()
		entries, err := os.ReadDir("/proc/self/fd")
		if err != nil {
			t.Fatal(err)
		}
		return len(entries)
	}
	address := netip.MustParseAddrPort("127.0.0.1:2003")
	before := openDescriptors()
	for range 50 {
		for _, output := range []Output{
			NewGraphite(GraphiteOptions{Address: address, Timeout: 1}),
			NewCollectd("/run/collectd", 1),
			NewCollectdNetwork(CollectdNetworkOptions{Address: address}),
		} {
			if output.Name() == "" {
				t.Error("an output without a name")
			}
		}
	}
	if after := openDescriptors(); after > before {
		t.Errorf("%d descriptors are open, %d were before", after, before)
	}
}
