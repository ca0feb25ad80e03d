package checker

import (
	"testing"
	"time"
)

// world is a referee with a clock of its own.
type world struct {
	*Referee
	now time.Time
}

func newWorld() *world {
	w := &world{now: time.Unix(1000, 0)}
	w.Referee = New(Bounds{Drain: 4 * time.Second, Evacuate: 5 * time.Second, RetryRatio: 0.5,
		RetryWindow: 10 * time.Second,
		RetryExtra:  1}, func() time.Time { return w.now })
	return w
}

var (
	generations = &Route{Name: "generations", Services: []string{"llm"}, Homes: []string{"west"}}
	lookups     = &Route{Name: "lookups", Services: []string{"api"}, Idempotent: true}
	west        = &Runner{ID: "i-1", Service: "llm", Zone: "west-a", Region: "west"}
	east        = &Runner{ID: "i-2", Service: "llm", Zone: "east-a", Region: "east"}
	api         = &Runner{ID: "i-3", Service: "api", Zone: "west-a", Region: "west"}
)

func (w *world) ask(id string, route *Route) {
	w.Asked(Try{ID: id, Method: "POST", Host: "h", URI: "/a", Body: Hash([]byte("x")), Route: route})
}

func (w *world) arrive(id string, runner *Runner) {
	w.Arrived(Arrival{Runner: runner, ID: id, Method: "POST", Host: "h", URI: "/a", Body: Hash([]byte("x"))})
}

func TestBreaches(t *testing.T) {
	for _, test := range []struct {
		name string
		do   func(w *world)
		want []Rule
	}{
		{"a proper request", func(w *world) { w.ask("1", generations); w.arrive("1", west); w.Ran(west, "1") }, nil},
		{"an id that nobody sent", func(w *world) { w.arrive("1", west) }, []Rule{Unasked}},
		{"a changed path", func(w *world) {
			w.ask("1", generations)
			w.Arrived(Arrival{Runner: west, ID: "1", Method: "POST", Host: "h", URI: "/b", Body: Hash([]byte("x"))})
		}, []Rule{Unasked}},
		{"a changed body", func(w *world) {
			w.ask("1", generations)
			w.Arrived(Arrival{Runner: west, ID: "1", Method: "POST", Host: "h", URI: "/a", Body: Hash([]byte("y"))})
		}, []Rule{Unasked}},
		{"run twice", func(w *world) { w.ask("1", generations); w.Ran(west, "1"); w.Ran(west, "1") }, []Rule{Twice}},
		{"an idempotent one run twice", func(w *world) { w.ask("1", lookups); w.Ran(api, "1"); w.Ran(api, "1") }, nil},
		{"refused after it ran", func(w *world) { w.ask("1", generations); w.Ran(west, "1"); w.TurnedAway("1", 503) },
			[]Rule{Refused}},
		{"run after it was refused", func(w *world) { w.ask("1", generations); w.TurnedAway("1", 429); w.Ran(west, "1") },
			[]Rule{Refused}},
		{"another service", func(w *world) { w.ask("1", lookups); w.arrive("1", west) }, []Rule{Routed}},
		{"another region", func(w *world) { w.ask("1", generations); w.arrive("1", east) }, []Rule{Home}},
		{"a draining runner in time", func(w *world) {
			w.Draining("i-1", w.now)
			w.now = w.now.Add(4 * time.Second)
			w.ask("1", generations)
			w.arrive("1", west)
		}, nil},
		{"a draining runner too late", func(w *world) {
			w.Draining("i-1", w.now)
			w.now = w.now.Add(4*time.Second + 1)
			w.ask("1", generations)
			w.arrive("1", west)
		}, []Rule{Drain}},
		{"an evacuated zone too late", func(w *world) {
			w.Evacuated("west-a", w.now)
			w.now = w.now.Add(6 * time.Second)
			w.ask("1", generations)
			w.arrive("1", west)
		}, []Rule{Evacuate}},
		{"an evacuated zone that was taken back", func(w *world) {
			w.Evacuated("west-a", w.now)
			w.Restored("west-a")
			w.now = w.now.Add(6 * time.Second)
			w.ask("1", generations)
			w.arrive("1", west)
		}, nil},
		{"repeats within the budget", func(w *world) { w.repeat(2, 2) }, nil},
		{"repeats beyond the budget", func(w *world) { w.repeat(2, 3) }, []Rule{Budget}},
	} {
		w := newWorld()
		test.do(w)
		var got []Rule
		for _, b := range w.Close() {
			got = append(got, b.Rule)
		}
		if len(got) != len(test.want) || len(got) > 0 && got[0] != test.want[0] {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
	}
}

// repeat asks so many times, and sends the first one so many times again.
func (w *world) repeat(asked, repeats int) {
	for i := range asked {
		w.ask(string(rune('a'+i)), lookups)
	}
	w.now = w.now.Add(time.Second)
	for range repeats + 1 {
		w.arrive("a", api)
	}
}
