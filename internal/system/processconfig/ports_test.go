package processconfig

import (
	"net/netip"
	"testing"
)

func TestAgentFeedAddress(t *testing.T) {
	for ip, want := range map[string]string{"10.1.0.12": "127.0.0.1:7662", "127.0.2.4": "127.0.2.4:7662"} {
		s := &Settings{IP: netip.MustParseAddr(ip), FreePorts: PortRange{First: 7660, Last: 7675}}
		if got := s.AgentFeedAddress().String(); got != want {
			t.Errorf("a machine at %s: %s, want %s", ip, got, want)
		}
	}
}
