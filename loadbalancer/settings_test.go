package loadbalancer

import (
	"strings"
	"testing"
)

func TestSettingsErrorsNameTheField(t *testing.T) {
	for field, spoil := range map[string]func(*Settings){
		"Classes":                func(s *Settings) { s.Classes = nil },
		"Classes[0].Objective":   func(s *Settings) { s.Classes[0].Objective = 0 },
		"Classes[1].DedupWindow": func(s *Settings) { s.Classes[1].DedupWindow = 0 },
		"Classes[0].Deadline":    func(s *Settings) { s.Classes[0].Deadline = -1 },
		"Zones":                  func(s *Settings) { s.Zones = 0 },
		"Zone":                   func(s *Settings) { s.Zone = 5 },
		"Instances":              func(s *Settings) { s.Instances = 0 },
		"MaxAttempts":            func(s *Settings) { s.MaxAttempts = 0 },
		"Tick":                   func(s *Settings) { s.Tick = 0 },
		"SlowStartInitialShare":  func(s *Settings) { s.SlowStartInitialShare = 2 },
		"OverloadWindow":         func(s *Settings) { s.OverloadWindow = 0 },
		"ListRefreshInterval": func(s *Settings) {
			s.ListOnRequest = true
			s.ListRefreshInterval = 0
		},
		"Tenants[0].QuotaPerSec": func(s *Settings) { s.Tenants = []Tenant{{QuotaPerSec: -1}} },
	} {
		s := testSettings()
		spoil(&s)
		if _, err := New(s, 1, nil); err == nil || !strings.Contains(err.Error(), "bad "+field+":") {
			t.Errorf("%s: got %v", field, err)
		}
	}
}
