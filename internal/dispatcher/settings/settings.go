// Package settings reads the deployment's settings, as the simulator and the real dispatcher both get them.
package settings

import (
	"encoding/json"
	"fmt"

	"cinderroad/loadbalancer"
)

// settingsDoc mirrors the keys of the settings JSON that the decisions use; others are ignored.
type settingsDoc struct {
	Categories []struct {
		Name       string   `json:"name"`
		ObjectiveS float64  `json:"objectiveS"`
		AimStretch *float64 `json:"aimStretch"`
		DeadlineS  float64  `json:"deadlineS"`
		WindowS    float64  `json:"windowS"`
		Worth      float64  `json:"worth"`
		LateShare  float64  `json:"lateShare"`
		Repeat     string   `json:"repeat"`
		DedupScope string   `json:"dedupScope"`
	} `json:"categories"`
	FamilyInfo struct {
		ClassKind    []int     `json:"classKind"`
		ClassStretch []float64 `json:"classStretch"`
		ReportX0     string    `json:"reportX0"`
		ReportX1     string    `json:"reportX1"`
		TellsStart   bool      `json:"tellsStart"`
	} `json:"familyInfo"`
	FailureDomains []string `json:"failureDomains"`
	Guarantees     struct {
		AnswerSlackS float64 `json:"answerSlackS"`
		AskWithinS   float64 `json:"askWithinS"`
		ColdS        float64 `json:"coldS"`
		ColdShare    float64 `json:"coldShare"`
		FallMultiple float64 `json:"fallMultiple"`
		FallS        float64 `json:"fallS"`
	} `json:"guarantees"`
	Limits struct {
		AttemptsCap    int     `json:"attemptsCap"`
		MaxRetryAfterS float64 `json:"maxRetryAfterS"`
		MayCancel      bool    `json:"mayCancel"`
		MayProbe       bool    `json:"mayProbe"`
		ParallelTries  bool    `json:"parallelTries"`
		RetryAfter     bool    `json:"retryAfter"`
	} `json:"limits"`
	Me             int     `json:"me"`
	MembershipMode string  `json:"membershipMode"`
	NInstances     int     `json:"nInstances"`
	OverShareWorth float64 `json:"overShareWorth"`
	Report         struct {
		Fields []string `json:"fields"`
		Via    string   `json:"via"`
	} `json:"report"`
	Tenants []struct {
		Name      string  `json:"name"`
		QuotaPerS float64 `json:"quotaPerS"`
	} `json:"tenants"`
	TickS float64 `json:"tickS"`
	Zone  int     `json:"zone"`
}

var (
	effects = map[string]loadbalancer.RetrySafety{"retryable": loadbalancer.RetrySafe, "dedup": loadbalancer.RetryDeduplicated, "fragile": loadbalancer.RetryUnsafe}
	scopes  = map[string]loadbalancer.DedupScope{"": loadbalancer.DedupAll, "all": loadbalancer.DedupAll, "zone": loadbalancer.DedupZone,
		"cell": loadbalancer.DedupCell}
)

// Parse turns the settings JSON of a start into the decisions' settings.
func Parse(text []byte) (loadbalancer.Settings, error) {
	var d settingsDoc
	if err := json.Unmarshal(text, &d); err != nil {
		return loadbalancer.Settings{}, fmt.Errorf("settings: %w", err)
	}
	s := loadbalancer.Settings{
		Zones: len(d.FailureDomains), Zone: d.Zone, Instances: d.NInstances, Instance: d.Me,
		MayProbe: d.Limits.MayProbe, MayCancel: d.Limits.MayCancel, ParallelAttempts: d.Limits.ParallelTries,
		MayRetryAfter: d.Limits.RetryAfter, MaxAttempts: d.Limits.AttemptsCap,
		MaxRetryAfter: d.Limits.MaxRetryAfterS, ReportsStart: d.FamilyInfo.TellsStart, Tick: d.TickS,
		AnswerSlack: d.Guarantees.AnswerSlackS, ListRefreshInterval: d.Guarantees.AskWithinS,
		SlowStartDuration: d.Guarantees.ColdS, SlowStartInitialShare: d.Guarantees.ColdShare,
		OverloadMultiple: d.Guarantees.FallMultiple, OverloadWindow: d.Guarantees.FallS, OverQuotaValue: d.OverShareWorth,
	}
	if d.NInstances < 1 {
		return s, fmt.Errorf("settings: bad nInstances: %d; it is how many dispatchers share the workers, 1 at least", d.NInstances)
	}
	if d.Me < 0 || d.Me >= d.NInstances {
		return s, fmt.Errorf("settings: bad me: %d; it counts from 0 and stays below nInstances, %d", d.Me, d.NInstances)
	}
	for i, c := range d.Categories {
		effect, known := effects[c.Repeat]
		if !known {
			return s, fmt.Errorf("settings: bad categories[%d].repeat: %q", i, c.Repeat)
		}
		scope, known := scopes[c.DedupScope]
		if !known {
			return s, fmt.Errorf("settings: bad categories[%d].dedupScope: %q", i, c.DedupScope)
		}
		class := loadbalancer.Class{Name: c.Name, Objective: c.ObjectiveS, Deadline: c.DeadlineS, DedupWindow: c.WindowS,
			Value: c.Worth, LateValueShare: c.LateShare, RetrySafety: effect, DedupScope: scope, Kind: -1}
		if i < len(d.FamilyInfo.ClassKind) {
			class.Kind = d.FamilyInfo.ClassKind[i]
		}
		if c.AimStretch != nil {
			class.Stretch = *c.AimStretch
		} else if i < len(d.FamilyInfo.ClassStretch) {
			class.Stretch = d.FamilyInfo.ClassStretch[i]
		}
		s.Classes = append(s.Classes, class)
	}
	for _, t := range d.Tenants {
		s.Tenants = append(s.Tenants, loadbalancer.Tenant{Name: t.Name, QuotaPerSec: t.QuotaPerS})
	}
	var known bool
	if s.ListOnRequest, known = map[string]bool{"pushed": false, "on_request": true}[d.MembershipMode]; !known {
		return s, fmt.Errorf("settings: bad membershipMode: %q", d.MembershipMode)
	}
	switch d.Report.Via {
	case "piggyback", "pull":
		s.ReportsByProbe = d.Report.Via == "pull"
		for _, name := range d.Report.Fields {
			s.ReportFields = append(s.ReportFields, d.field(name))
		}
	case "silent", "":
	default:
		return s, fmt.Errorf("settings: bad report.via: %q", d.Report.Via)
	}
	return s, nil
}

// field resolves a report column; the x columns mean what the family says they mean.
func (d *settingsDoc) field(name string) loadbalancer.ReportField {
	switch name {
	case "x0":
		name = d.FamilyInfo.ReportX0
	case "x1":
		name = d.FamilyInfo.ReportX1
	}
	switch name {
	case "outstanding":
		return loadbalancer.FieldInFlight
	case "backlog":
		return loadbalancer.FieldQueued
	case "utilization":
		return loadbalancer.FieldUtilization
	case "free slots":
		return loadbalancer.FieldFreeSlots
	case "free memory":
		return loadbalancer.FieldFreeMemory
	}
	return loadbalancer.FieldIgnored
}
