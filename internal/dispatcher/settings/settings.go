// Package settings parses the deployment's settings, which the simulator and the dispatcher get in the same JSON form, into
// the load balancer's settings. It does no I/O; ranges are checked by loadbalancer.New, except where noted at Parse.
package settings

import (
	"encoding/json"
	"fmt"
	"strconv"

	"cinderroad/loadbalancer"
)

// settingsDocument has the keys that the load balancer uses; others are ignored. Names that end in S are in seconds.
type settingsDocument struct {
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

// Names in the settings.
var (
	retrySafeties = map[string]loadbalancer.RetrySafety{
		"retryable": loadbalancer.RetrySafe,
		"dedup":     loadbalancer.RetryDeduplicated,
		"fragile":   loadbalancer.RetryUnsafe,
	}
	dedupScopes = map[string]loadbalancer.DedupScope{
		"":     loadbalancer.DedupAll,
		"all":  loadbalancer.DedupAll,
		"zone": loadbalancer.DedupZone,
		"cell": loadbalancer.DedupCell,
	}
)

// Parse converts the settings JSON into the load balancer's settings. It rejects unknown names and an instance index outside
// of the instances; errors name the key.
func Parse(text []byte) (loadbalancer.Settings, error) {
	var document settingsDocument
	if err := json.Unmarshal(text, &document); err != nil {
		return loadbalancer.Settings{}, fmt.Errorf("settings: %w", err)
	}
	s := loadbalancer.Settings{
		Zones:                 len(document.FailureDomains),
		Zone:                  document.Zone,
		Instances:             document.NInstances,
		Instance:              document.Me,
		MayProbe:              document.Limits.MayProbe,
		MayCancel:             document.Limits.MayCancel,
		ParallelAttempts:      document.Limits.ParallelTries,
		MayRetryAfter:         document.Limits.RetryAfter,
		MaxAttempts:           document.Limits.AttemptsCap,
		MaxRetryAfter:         document.Limits.MaxRetryAfterS,
		ReportsStart:          document.FamilyInfo.TellsStart,
		Tick:                  document.TickS,
		AnswerSlack:           document.Guarantees.AnswerSlackS,
		ListRefreshInterval:   document.Guarantees.AskWithinS,
		SlowStartDuration:     document.Guarantees.ColdS,
		SlowStartInitialShare: document.Guarantees.ColdShare,
		OverloadMultiple:      document.Guarantees.FallMultiple,
		OverloadWindow:        document.Guarantees.FallS,
		OverQuotaValue:        document.OverShareWorth,
	}
	if document.NInstances < 1 {
		reason := fmt.Sprintf("%d; it is how many dispatchers share the workers, 1 at least", document.NInstances)
		return s, &InvalidValueError{"nInstances", reason}
	}
	if document.Me < 0 || document.Me >= document.NInstances {
		reason := fmt.Sprintf("%d; it counts from 0 and stays below nInstances, %d", document.Me, document.NInstances)
		return s, &InvalidValueError{"me", reason}
	}
	var err error
	if s.Classes, err = document.classes(); err != nil {
		return s, err
	}
	for _, tenant := range document.Tenants {
		s.Tenants = append(s.Tenants, loadbalancer.Tenant{Name: tenant.Name, QuotaPerSec: tenant.QuotaPerS})
	}
	switch document.MembershipMode {
	case "pushed":
	case "on_request":
		s.ListOnRequest = true
	default:
		return s, &InvalidValueError{"membershipMode", strconv.Quote(document.MembershipMode)}
	}
	switch document.Report.Via {
	case "piggyback", "pull":
		s.ReportsByProbe = document.Report.Via == "pull"
		for _, name := range document.Report.Fields {
			s.ReportFields = append(s.ReportFields, document.reportField(name))
		}
	case "silent", "":
	default:
		return s, &InvalidValueError{"report.via", strconv.Quote(document.Report.Via)}
	}
	return s, nil
}

// classes returns the classes in the document's order. A class's own stretch precedes that of the family.
func (d *settingsDocument) classes() (classes []loadbalancer.Class, err error) {
	for i, category := range d.Categories {
		retrySafety, known := retrySafeties[category.Repeat]
		if !known {
			return nil, &InvalidValueError{fmt.Sprintf("categories[%d].repeat", i), strconv.Quote(category.Repeat)}
		}
		scope, known := dedupScopes[category.DedupScope]
		if !known {
			return nil, &InvalidValueError{fmt.Sprintf("categories[%d].dedupScope", i), strconv.Quote(category.DedupScope)}
		}
		class := loadbalancer.Class{
			Name:           category.Name,
			Objective:      category.ObjectiveS,
			Deadline:       category.DeadlineS,
			DedupWindow:    category.WindowS,
			Value:          category.Worth,
			LateValueShare: category.LateShare,
			RetrySafety:    retrySafety,
			DedupScope:     scope,
			Kind:           -1,
		}
		if i < len(d.FamilyInfo.ClassKind) {
			class.Kind = d.FamilyInfo.ClassKind[i]
		}
		if category.AimStretch != nil {
			class.Stretch = *category.AimStretch
		} else if i < len(d.FamilyInfo.ClassStretch) {
			class.Stretch = d.FamilyInfo.ClassStretch[i]
		}
		classes = append(classes, class)
	}
	return classes, nil
}

// reportField returns the meaning of a report column; that of x0 and x1 is given by the family.
func (d *settingsDocument) reportField(name string) loadbalancer.ReportField {
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
