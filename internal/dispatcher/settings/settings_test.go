package settings

import (
	"strings"
	"testing"

	"cinderroad/loadbalancer"
)

// TestInstanceCountAndIndex checks that invalid values are rejected with the key's name: slow start budgets and turns are
// divided by them.
func TestInstanceCountAndIndex(t *testing.T) {
	const rest = `"categories":[{"name":"a","objectiveS":1,"deadlineS":2,"repeat":"retryable"}],"failureDomains":["z"],
		"guarantees":{"coldShare":1,"fallMultiple":3,"fallS":2},"limits":{"attemptsCap":2},"membershipMode":"pushed","tickS":0.004`
	for text, want := range map[string]string{
		`"nInstances":0,"me":0`:       "bad nInstances: 0",
		`"nInstances":-3,"me":0`:      "bad nInstances: -3",
		`"me":0`:                      "bad nInstances: 0",
		`"nInstances":3,"me":3`:       "bad me: 3",
		`"nInstances":3,"me":-1`:      "bad me: -1",
		`"nInstances":"many","me":0`:  "nInstances",
		`"nInstances":1,"me":0`:       "",
		`"nInstances":1000,"me":999`:  "",
		`"nInstances":2.5,"me":0`:     "nInstances",
		`"nInstances":1000,"me":1000`: "bad me: 1000",
	} {
		s, err := Parse([]byte("{" + text + "," + rest + "}"))
		if err == nil {
			_, err = loadbalancer.New(s, 1, nil)
		}
		if want == "" && err != nil || want != "" && (err == nil || !strings.Contains(err.Error(), want)) {
			t.Errorf("%s: %v, want %q", text, err, want)
		}
	}
}
