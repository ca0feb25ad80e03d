package schedule

import (
	"slices"
	"strings"
	"testing"
	"time"
)

var testShape = Shape{Edges: 4, Controls: 3, Zones: 3, Storm: 12 * time.Second, Series: 6}

// TestDrawIsRepeatable: the seed alone decides, and other seeds give other schedules.
func TestDrawIsRepeatable(t *testing.T) {
	drawn := make(map[string]uint64)
	for seed := range uint64(100) {
		text := Format(Draw(seed, testShape))
		if text != Format(Draw(seed, testShape)) {
			t.Fatalf("seed %d: drawn twice, it differs", seed)
		}
		if other, known := drawn[text]; known {
			t.Errorf("seeds %d and %d give the same schedule", seed, other)
		}
		drawn[text] = seed
	}
}

// TestDrawIsWithinShape: events are in order, within the storm, and name machines and zones that exist.
func TestDrawIsWithinShape(t *testing.T) {
	shapes := []Shape{testShape, {Edges: 1, Controls: 1, Zones: 1, Storm: time.Second}, {Edges: 60, Controls: 3, Zones: 3,
		Storm: 15 * time.Second, Series: 40}}
	for _, shape := range shapes {
		for seed := range uint64(200) {
			events := Draw(seed, shape)
			if !slices.IsSortedFunc(events, func(a, b Event) int { return int(a.At - b.At) }) {
				t.Fatalf("seed %d: not in order", seed)
			}
			for _, event := range events {
				checkEvent(t, seed, shape, event)
			}
		}
	}
}

func checkEvent(t *testing.T, seed uint64, shape Shape, event Event) {
	t.Helper()
	limit := 1 << 16
	switch {
	case event.Program == Control:
		limit = shape.Controls
	case event.Program != "":
		limit = shape.Edges
	case event.Action == BeginEvacuation || event.Action == FinishEvacuation:
		limit = shape.Zones
	}
	if event.At < 0 || event.At > shape.Storm || event.Index < 0 || event.Index >= limit {
		t.Errorf("seed %d: %v", seed, event)
	}
}

// TestDrawKeepsWhatRulesNeed: one disk is lost at most, an evacuation ends after it began, and one zone is never evacuated.
func TestDrawKeepsWhatRulesNeed(t *testing.T) {
	for seed := range uint64(500) {
		disks := 0
		began := make(map[int]time.Duration)
		for _, event := range Draw(seed, testShape) {
			switch event.Action {
			case LoseDisk:
				disks++
			case BeginEvacuation:
				if _, twice := began[event.Index]; twice {
					t.Errorf("seed %d: zone %d is evacuated twice", seed, event.Index)
				}
				began[event.Index] = event.At
			case FinishEvacuation:
				if since, ok := began[event.Index]; !ok || since >= event.At {
					t.Errorf("seed %d: the evacuation of zone %d ends before it began", seed, event.Index)
				}
			}
		}
		if disks != 1 || len(began) == 0 || len(began) == testShape.Zones {
			t.Errorf("seed %d: %d disks lost, %d zones evacuated", seed, disks, len(began))
		}
	}
}

// TestDrawHasEveryAction: within few seeds, each action occurs.
func TestDrawHasEveryAction(t *testing.T) {
	var text strings.Builder
	for seed := range uint64(20) {
		text.WriteString(Format(Draw(seed, testShape)))
	}
	for _, action := range []Action{Terminate, Reload, Kill, LoseDisk, DrainRunner, DrainRunnerSlowly, DrainAtShortNotice, CrashRunner,
		SilenceRunner, ChangeConfiguration, RaceConfiguration, InvalidChange, BeginEvacuation, FinishEvacuation} {
		if !strings.Contains(text.String(), " "+string(action)+" ") {
			t.Errorf("no schedule of 20 has %s", action)
		}
	}
}
