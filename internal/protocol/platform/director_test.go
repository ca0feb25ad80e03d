package platform

import (
	"errors"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against dispatchers that fail together asking together again, against one that asks a discovery without room
// as fast as one that has lost its connection, and against a wait that it names being passed over.
func TestPause(t *testing.T) {
	refused := refusal("503 Service Unavailable", Header{{"retry-after", "3.5"}})
	for _, tc := range []struct {
		name  string
		err   error
		after float64
		spans []float64
	}{
		{"lost", errors.New("reset"), 0, []float64{1, 2, 2}},
		{"no room", refusal("503", nil), 0, []float64{2, 4, 8, 16, 16}},
		{"no room, told when", refused, 3.5, []float64{2, 4}},
		{"no room, told nonsense", refusal("429", Header{{"Retry-After", "-1"}}), 0, []float64{2, 4}},
		{"no list there", refusal("404 Not Found", nil), 0, []float64{1, 2}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			least, most := make([]float64, len(tc.spans)), make([]float64, len(tc.spans))
			for seed := range uint64(400) {
				d := &Director{rng: rand.New(rand.NewPCG(seed, 0))}
				for i, span := range tc.spans {
					p := d.pause(tc.err)
					if p < tc.after || p > tc.after+span {
						t.Fatalf("pause %d is %.2f s", i, p)
					}
					if least[i] = min(least[i], p-tc.after-span); p > most[i] {
						most[i] = p
					}
				}
			}
			for i, span := range tc.spans { // all of the span is used
				if most[i] < tc.after+0.9*span || least[i] > -0.9*span {
					t.Errorf("pause %d: %.2f to %.2f s of %.2f", i, least[i]+span, most[i], span)
				}
			}
		})
	}
	if diff := cmp.Diff("platform: discovery answered 503 Service Unavailable", refused.Error()); diff != "" {
		t.Error(diff)
	}
}
