package state

import (
	"reflect"
	"testing"
)

// TestCommitConfiguration checks which changes are accepted, rejected and recognized.
func TestCommitConfiguration(t *testing.T) {
	steps := []struct {
		name    string
		command []byte
		want    Result
	}{
		{"nothing is in force, a base is named", encodeCommit(1, 2, 1), Result{OutcomeConflict, 0}},
		{"the first", encodeCommit(0, 3, 2, put("route/a", "1")), Result{OutcomeAccepted, 3}},
		{"the first again", encodeCommit(0, 3, 2, put("route/a", "1")), Result{OutcomeAlreadyAccepted, 3}},
		{"another first", encodeCommit(0, 4, 3, put("route/a", "2")), Result{OutcomeConflict, 3}},
		{"a version that is not above its base", encodeCommit(3, 3, 4), Result{OutcomeConflict, 3}},
		{"the next", encodeCommit(3, 9, 5, put("route/b", "3"), Write{Key: "route/a", Deleted: true}), Result{OutcomeAccepted, 9}},
		{"the first again, later", encodeCommit(0, 3, 2, put("route/a", "1")), Result{OutcomeAlreadyAccepted, 3}},
		{"a race on the base before", encodeCommit(3, 10, 6), Result{OutcomeConflict, 9}},
		{"no command", nil, Result{OutcomeMalformed, 0}},
		{"a command of another kind of partition", (&WriteRunners{}).Encode(), Result{OutcomeMalformed, 0}},
	}
	configuration := newTestConfiguration()
	for i, step := range steps {
		if got := decodeResult(t, configuration.Apply(uint64(i+1), step.command)); got != step.want {
			t.Errorf("%s: %+v, want %+v", step.name, got, step.want)
		}
	}
	var got []string
	for key, value := range configuration.View().Values.WithPrefix("") {
		got = append(got, key+"="+string(value))
	}
	if want := []string{"route/b=3", "version=9"}; !reflect.DeepEqual(got, want) {
		t.Errorf("in force: %q, want %q", got, want)
	}
}

// TestApplyCopiesValues checks that the state does not share memory with the command.
func TestApplyCopiesValues(t *testing.T) {
	command := encodeCommit(0, 1, 1, put("route/a", "value"))
	configuration := newTestConfiguration()
	configuration.Apply(1, command)
	clear(command)
	for _, value := range configuration.View().Values.WithPrefix("route/") {
		if string(value) != "value" {
			t.Errorf("the state shares the command's bytes: %q", value)
		}
	}
}
