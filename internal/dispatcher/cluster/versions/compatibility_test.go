package versions

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"cinderroad/internal/compatibility"
)

// TestReadRecordedPiggyback checks the data that is piggybacked on membership messages.
func TestReadRecordedPiggyback(t *testing.T) {
	for name, r := range map[string]*payload{
		"whole": {
			Version:      Version{Source: "10.0.0.9:8500", Epoch: 2, Revision: 1 << 40},
			Request:      true,
			CompleteUpTo: 1<<40 + 1,
			EpochAge:     1.5,
			FactCount:    3,
			Facts: []Fact{
				{Worker: "w", State: Draining, Start: 1_700_000_000_000, Revision: 9},
				{Worker: "v", State: Gone, Revision: 8},
			},
			UpdateStamp:  17_000_000_001,
			DirectUpdate: true,
			Clock:        1_700_000_000.25,
			OrdersDigest: 1 << 63,
			Orders: []Order{
				{Member: "n2", Out: true, Number: 1, By: "n0", At: 1_700_000_000.5},
				{Member: "n3", Number: 2, By: "n1", At: 1},
			},
		},
		"bare": {Version: Version{Source: "s"}},
	} {
		recorded := compatibility.PackageFolder.Check(t, "ride-"+name, New("n0").encodePayload(r))
		got, err := decodePayload(recorded)
		if err != nil {
			t.Fatal(name, err)
		}
		if d := cmp.Diff(r, got); d != "" {
			t.Errorf("%s: %s", name, d)
		}
	}
}

// TestOrderDigestsUnchanged pins the digest of a member's orders, which members of different versions compare.
func TestOrderDigestsUnchanged(t *testing.T) {
	table := New("n0")
	if err := table.addOrder(1_700_000_000, "n2", true); err != nil {
		t.Fatal(err)
	}
	if table.orders.digest != 12611020688707290867 {
		t.Errorf("digest %d", table.orders.digest)
	}
}
