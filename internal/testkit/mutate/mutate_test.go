package mutate

import (
	"errors"
	"maps"
	"strings"
	"testing"
)

var errForged = errors.New("a forged message was taken")

// runThreeMessages has member 1 send three messages to member 2. The outcome is what member 2 gets; taking the word
// "forged" violates an invariant.
func runThreeMessages(tamper Tamper) (outcome string, err error) {
	var received []string
	for i, text := range []string{"one", "two", "three"} {
		for _, delivery := range tamper(i, Message{From: 1, To: 2, Data: []byte(text)}) {
			if delivery.To != 2 {
				continue
			}
			if string(delivery.Data) == "forged" {
				return "", errForged
			}
			received = append(received, string(delivery.Data))
		}
	}
	return strings.Join(received, " "), nil
}

func TestRunAll(t *testing.T) {
	report, err := RunAll(runThreeMessages, Options{
		Delays:       []float64{1},
		Variants:     func([]byte) map[string][]byte { return map[string][]byte{"word": []byte("forged")} },
		Parallelism:  3,
		OtherMembers: []uint64{2, 3},
	})
	if err != nil {
		t.Fatal(err)
	}
	wantRuns := map[string]int{
		"lost":      3,
		"twice":     3,
		"late":      3,
		"swapped":   2, // the last message is not overtaken
		"older":     2, // the first has none before it
		"elsewhere": 3,
		"cut":       3,
		"flipped":   9,
		"forged":    3,
	}
	if report.Messages != 3 || !maps.Equal(report.Runs, wantRuns) {
		t.Errorf("%d messages, runs %v, want 3 and %v", report.Messages, report.Runs, wantRuns)
	}
	if !maps.Equal(report.SameOutcome, map[string]int{"late": 3}) { // this run has no clock
		t.Errorf("the same outcome: %v, want only the late ones", report.SameOutcome)
	}
	if len(report.Violations) != 3 {
		t.Fatalf("%d violations, want 3", len(report.Violations))
	}
	for i, violation := range report.Violations {
		if violation.Message != i || violation.Mutation != "forged word" || !errors.Is(violation.Err, errForged) {
			t.Errorf("violation %d is %+v", i, violation)
		}
	}
	if line := "forged           3 runs,     0 as without,    0 otherwise,    3 broke\n"; !strings.Contains(report.String(), line) {
		t.Errorf("%q is not in the report:\n%s", line, report)
	}
}

func TestRunAllWithStride(t *testing.T) {
	report, err := RunAll(runThreeMessages, Options{Stride: 5})
	if err != nil {
		t.Fatal(err)
	}
	total := 0
	for _, count := range report.Runs {
		total += count
	}
	if total != 5 { // of 22: lost, twice, cut and three flipped of each message, and two swapped and two older
		t.Errorf("%d runs, want every fifth of 22", total)
	}
}

func TestRunAllRejectsViolationsOfTheUnchangedRun(t *testing.T) {
	_, err := RunAll(func(Tamper) (string, error) { return "", errForged }, Options{})
	if !errors.Is(err, errForged) {
		t.Errorf("the error is %v", err)
	}
}
