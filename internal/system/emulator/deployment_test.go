package emulator

import (
	"net/netip"
	"testing"

	"cinderroad/internal/system/policysim"
)

func newTestDeployment(t *testing.T, edges int) *deployment {
	t.Helper()
	d, err := planDeployment(policysim.Screening(), edges, t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	d.platformAddress = netip.MustParseAddrPort("127.2.0.1:8080")
	return d
}

func TestPlanDeploymentAddresses(t *testing.T) {
	d := newTestDeployment(t, 7)
	seen := make(map[netip.Addr]string)
	for _, m := range d.machines {
		if other := seen[m.ip]; other != "" {
			t.Errorf("%s and %s are both at %s", m.name, other, m.ip)
		}
		seen[m.ip] = m.name
	}
	if len(d.machinesOfClass(coreClass)) != coreMachineCount || len(d.machinesOfClass(edgeClass)) != 7 {
		t.Errorf("%d machines of the core and %d edges", len(d.machinesOfClass(coreClass)),
			len(d.machinesOfClass(edgeClass)))
	}
	near := d.directories("west-b")
	if len(near) != coreMachineCount || near[0].Addr() != d.machines[1].ip {
		t.Errorf("directories of west-b: %v, machines %+v", near, d.machines[1])
	}
}
