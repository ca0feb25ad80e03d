package emulator

import (
	"os"
	"testing"
	"time"

	"cinderroad/internal/system/processconfig"
)

func TestSettingsAreParsedBySystem(t *testing.T) {
	d := newTestDeployment(t, 2)
	for _, m := range d.machines {
		for _, p := range programsOf(m) {
			file, err := d.writeSettings(m, p, true)
			if err != nil {
				t.Fatal(err)
			}
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			s, err := processconfig.Parse(text)
			if err != nil {
				t.Fatalf("%s on %s: %v", p, m.name, err)
			}
			if s.Node != m.name || s.IP != m.ip || s.Zone != m.zone || len(s.SeedNodes) != coreMachineCount || !s.FirstBoot ||
				s.Timing.ConfigWithin != 2500*time.Millisecond || s.CloudAPI.Address != d.platformAddress {
				t.Errorf("%s on %s reads %+v", p, m.name, s)
			}
			if (s.StateDir != "") != (p == control) || s.ListenOn.Front.IsValid() != (p == proxy) ||
				s.ListenOn.Control.IsValid() != (p == control) {
				t.Errorf("%s on %s has the disk %q and listens on %+v", p, m.name, s.StateDir, s.ListenOn)
			}
		}
	}
}
