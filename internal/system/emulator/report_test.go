package emulator

import (
	"bytes"
	"strings"
	"testing"

	"cinderroad/internal/testkit/checker"
)

func TestReportFailedOnViolation(t *testing.T) {
	r := &Report{Violations: []checker.Violation{{Rule: checker.DuplicateExecution, Description: "try 1 ran 2 times"}}}
	if !r.Failed() || (&Report{}).Failed() {
		t.Error("a day fails by a violation, and only then")
	}
	var out bytes.Buffer
	if err := r.Print(&out); err != nil || !strings.Contains(out.String(), "rule=TWICE") {
		t.Errorf("%v: %s", err, out.String())
	}
}
