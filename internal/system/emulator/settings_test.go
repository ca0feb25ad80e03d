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
			isMachine := s.Node == m.name && s.IP == m.ip && s.Zone == m.zone
			isSystem := len(s.SeedNodes) == coreMachineCount && s.CloudAPI.Address == d.platformAddress
			if !isMachine || !isSystem || !s.FirstBoot || s.Timing.ConfigWithin != 2500*time.Millisecond {
				t.Errorf("%s on %s reads %+v", p, m.name, s)
			}
			servesClients := s.ListenOn.Front.IsValid()
			servesOperators := s.ListenOn.Control.IsValid()
			if (s.StateDir != "") != (p == control) || servesClients != (p == proxy) || servesOperators != (p == control) {
				t.Errorf("%s on %s has the disk %q and listens on %+v", p, m.name, s.StateDir, s.ListenOn)
			}
		}
	}
}
