package state

import (
	"reflect"
	"testing"
)

// TestSetEvacuation checks orders that are based on the current revision and late ones, and what remains after a
// snapshot.
func TestSetEvacuation(t *testing.T) {
	order := func(zone string, on bool, seen uint64) []byte {
		command := SetEvacuation{Zone: zone, Evacuated: on, ExpectedRevision: seen}
		return command.Encode()
	}
	steps := []struct {
		name    string
		command []byte
		want    Result
	}{
		{"a zone is evacuated", order("a", true, 0), Result{OutcomeAccepted, 1}},
		{"the same order, late", order("a", true, 0), Result{OutcomeConflict, 1}},
		{"it is evacuated already", order("a", true, 1), Result{OutcomeAlreadyAccepted, 3}},
		{"an older order, late", order("a", false, 1), Result{OutcomeConflict, 3}},
		{"another zone", order("b", true, 3), Result{OutcomeAccepted, 5}},
		{"an evacuation ends", order("a", false, 5), Result{OutcomeAccepted, 6}},
		{"an order from before that, late", order("a", true, 5), Result{OutcomeConflict, 6}},
		{"it has ended already", order("a", false, 6), Result{OutcomeAlreadyAccepted, 8}},
		{"an order sent before that, late", order("a", true, 6), Result{OutcomeConflict, 8}},
	}
	configuration := newTestConfiguration()
	for i, step := range steps {
		if got := decodeResult(t, configuration.Apply(uint64(i+1), step.command)); got != step.want {
			t.Errorf("%s: %+v, want %+v", step.name, got, step.want)
		}
	}
	if zones := configuration.EvacuatedZones(); !reflect.DeepEqual(zones, []string{"b"}) {
		t.Errorf("evacuated: %q", zones)
	}
	for zone, want := range map[string]Evacuation{
		"a": {Revision: 8, LastOrder: 8},
		"b": {Evacuated: true, Revision: 8, LastOrder: 5},
		"c": {Revision: 8},
	} {
		if got := configuration.Evacuation(zone); got != want {
			t.Errorf("zone %s: %+v, want %+v", zone, got, want)
		}
	}
	restored := newTestConfiguration()
	if err := restored.Restore(9, configuration.Snapshot()); err != nil {
		t.Fatal(err)
	}
	for _, zone := range []string{"a", "b", "c"} {
		before := configuration.Evacuation(zone)
		after := restored.Evacuation(zone)
		if after.Revision != 8 || after.LastOrder < before.LastOrder {
			t.Errorf("zone %s after a snapshot: %+v, before %+v", zone, after, before)
		}
	}
}
