package settings

import (
	"encoding/json"
	"errors"
	"math"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"cinderroad/loadbalancer"
)

// validSettings are accepted. Each test spoils one field of what they are parsed to.
const validSettings = `{"categories":[{"name":"a","objectiveS":1,"deadlineS":2,"aimStretch":1,"windowS":3,"worth":1,"lateShare":0.5,
	"repeat":"dedup","dedupScope":"all"}],"familyInfo":{"classKind":[0]},"failureDomains":["z"],"zone":0,"nInstances":1,"me":0,
	"guarantees":{"answerSlackS":0.1,"askWithinS":5,"coldS":9,"coldShare":1,"fallMultiple":3,"fallS":2},
	"limits":{"attemptsCap":2,"maxRetryAfterS":2},"membershipMode":"on_request","overShareWorth":0.5,"tickS":0.004,
	"tenants":[{"name":"t","quotaPerS":1}]}`

// TestErrorsNameTheKey: the error for each field that the load balancer rejects names a key of the settings' file.
func TestErrorsNameTheKey(t *testing.T) {
	for key, spoil := range map[string]func(*loadbalancer.Settings){
		"categories":               func(s *loadbalancer.Settings) { s.Classes = nil },
		"categories[0].objectiveS": func(s *loadbalancer.Settings) { s.Classes[0].Objective = 0 },
		"categories[0].deadlineS":  func(s *loadbalancer.Settings) { s.Classes[0].Deadline = -1 },
		"categories[0].aimStretch": func(s *loadbalancer.Settings) { s.Classes[0].Stretch = -1 },
		"categories[0].windowS":    func(s *loadbalancer.Settings) { s.Classes[0].DedupWindow = 0 },
		"categories[0].worth":      func(s *loadbalancer.Settings) { s.Classes[0].Value = math.NaN() },
		"categories[0].lateShare":  func(s *loadbalancer.Settings) { s.Classes[0].LateValueShare = -1 },
		"categories[0].repeat":     func(s *loadbalancer.Settings) { s.Classes[0].RetrySafety = 99 },
		"categories[0].dedupScope": func(s *loadbalancer.Settings) { s.Classes[0].DedupScope = 99 },
		"familyInfo.classKind[0]":  func(s *loadbalancer.Settings) { s.Classes[0].Kind = -2 },
		"tenants[0].quotaPerS":     func(s *loadbalancer.Settings) { s.Tenants[0].QuotaPerSec = -1 },
		"failureDomains":           func(s *loadbalancer.Settings) { s.Zones = 0 },
		"zone":                     func(s *loadbalancer.Settings) { s.Zone = 7 },
		"nInstances":               func(s *loadbalancer.Settings) { s.Instances = 0 },
		"me":                       func(s *loadbalancer.Settings) { s.Instance = 7 },
		"limits.attemptsCap":       func(s *loadbalancer.Settings) { s.MaxAttempts = 0 },
		"limits.maxRetryAfterS":    func(s *loadbalancer.Settings) { s.MaxRetryAfter = -1 },
		"tickS":                    func(s *loadbalancer.Settings) { s.Tick = 0 },
		"guarantees.answerSlackS":  func(s *loadbalancer.Settings) { s.AnswerSlack = math.Inf(1) },
		"guarantees.askWithinS":    func(s *loadbalancer.Settings) { s.ListRefreshInterval = 0 },
		"guarantees.coldS":         func(s *loadbalancer.Settings) { s.SlowStartDuration = -1 },
		"guarantees.coldShare":     func(s *loadbalancer.Settings) { s.SlowStartInitialShare = 2 },
		"guarantees.fallMultiple":  func(s *loadbalancer.Settings) { s.OverloadMultiple = 0 },
		"guarantees.fallS":         func(s *loadbalancer.Settings) { s.OverloadWindow = 0 },
		"overShareWorth":           func(s *loadbalancer.Settings) { s.OverQuotaValue = -1 },
	} {
		parsed, err := Parse([]byte(validSettings))
		if err != nil {
			t.Fatal(err)
		}
		spoil(&parsed)
		_, err = loadbalancer.New(parsed, 1, nil)
		var invalid *InvalidValueError
		if err = Explain(err); !errors.As(err, &invalid) || invalid.Key != key || !strings.Contains(err.Error(), "bad "+key+":") {
			t.Errorf("%s: %v", key, err)
		}
		if !isKey(t, key) {
			t.Errorf("%s is no key of the settings", key)
		}
	}
	if unrelated := errors.New("another"); Explain(unrelated) != unrelated || Explain(nil) != nil {
		t.Error("an error of another kind was changed")
	}
}

// keyPart is a name in a key, with the index in a list if there is one.
var keyPart = regexp.MustCompile(`(\w+)(?:\[(\d+)\])?`)

// isKey reports whether validSettings have a key.
func isKey(t *testing.T, key string) bool {
	t.Helper()
	var value any
	if err := json.Unmarshal([]byte(validSettings), &value); err != nil {
		t.Fatal(err)
	}
	for _, part := range keyPart.FindAllStringSubmatch(key, -1) {
		fields, isObject := value.(map[string]any)
		if !isObject {
			return false
		}
		value = fields[part[1]]
		if part[2] != "" {
			index, _ := strconv.Atoi(part[2])
			list, isList := value.([]any)
			if !isList || index >= len(list) {
				return false
			}
			value = list[index]
		}
	}
	return value != nil
}
