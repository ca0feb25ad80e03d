package consensus

import "testing"

func TestReplicaIDHex(t *testing.T) {
	for id, want := range map[ReplicaID]string{
		0:                  "0000000000000000",
		0x2a:               "000000000000002a",
		0x8000000000000001: "8000000000000001",
	} {
		if got := id.Hex(); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}
