package auditlog

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

const src = "10.0.0.9:8500"

// scenario is a run whose truth is known: dispatchers that learn versions, make attempts and send messages to each
// other, each with a clock of its own.
type scenario struct {
	rng      *rand.Rand
	members  []*testMember
	now      float64 // the true time
	revision int64
	state    map[string]string // of workers, as discovery has it
	attempts int
}

type testMember struct {
	name             string
	generation       string
	clockOffset      float64
	number           uint64
	lines            []string
	state            map[string]string
	revision         int64
	withoutDiscovery bool // learns nothing from its own discovery
}

func newScenario(seed uint64, members int) *scenario {
	s := &scenario{rng: rand.New(rand.NewPCG(seed, 3)), now: 1e9, state: map[string]string{}}
	for i := range members {
		a := &testMember{
			name:        fmt.Sprintf("d%d", i),
			generation:  fmt.Sprint("l", i),
			clockOffset: 4*s.rng.Float64() - 2,
			state:       map[string]string{},
		}
		s.members = append(s.members, a)
		s.add(a, 0, Entry{Kind: Started, Program: "p"})
	}
	for _, w := range []string{"w0", "w1", "w2", "w3"} {
		s.state[w] = "ready"
		for _, a := range s.members {
			a.state[w] = "ready"
		}
	}
	return s
}

// add has a dispatcher write an entry some time after now.
func (s *scenario) add(a *testMember, after float64, e Entry) {
	a.number++
	e.Time = s.now + after + a.clockOffset
	e.Dispatcher = a.name
	e.Generation = a.generation
	e.Number = a.number
	text, _ := json.Marshal(&e)
	a.lines = append(a.lines, string(text))
}

// send has a member answer a job that it sent to a worker a moment ago.
func (s *scenario) send(a *testMember, worker string) {
	s.attempts++
	const line = `{"time":%.6f,"by":%q,"id":"j%d","class":"score","front":"platform","verdict":"in_time","took_ms":12.000,` +
		`"mark":"%s.%d","tries":[{"node":%q,"sent_ms":1.000,"end_ms":12.000,"result":"ok","won":true,"mark":%d}]}`
	at := s.now + a.clockOffset + 0.012
	a.lines = append(a.lines, fmt.Sprintf(line, at, a.name, s.attempts, a.generation, a.number, worker, a.number))
}

// sendList has discovery send a version in which a worker changes to all dispatchers with discovery.
func (s *scenario) sendList(worker, state string) {
	s.revision++
	s.state[worker] = state
	for _, a := range s.members {
		if !a.withoutDiscovery {
			s.applyList(a, 0.002+0.02*s.rng.Float64(), worker)
		}
	}
	s.now += 0.05
}

// applyList has a dispatcher learn the newest version.
func (s *scenario) applyList(a *testMember, after float64, workers ...string) {
	e := Entry{Kind: ListApplied, Source: src, Revision: s.revision}
	for _, w := range workers {
		if a.state[w] != s.state[w] {
			a.state[w] = s.state[w]
			e.Workers = append(e.Workers, Worker{Name: w, State: s.state[w]})
		}
	}
	a.revision = s.revision
	s.add(a, after, e)
}

// run lets seconds pass, with attempts by what each dispatcher knows, and messages by which clocks compare.
func (s *scenario) run(seconds float64, idle ...*testMember) {
	for end := s.now + seconds; s.now < end; s.now += 0.1 {
		for _, a := range s.members {
			if slices.Contains(idle, a) {
				continue
			}
			for _, w := range []string{"w0", "w1", "w2", "w3"} {
				if a.state[w] == "ready" {
					s.send(a, w)
				}
			}
			from := s.members[s.rng.IntN(len(s.members))]
			if from != a && !slices.Contains(idle, from) {
				s.add(a, 0.001+0.02*s.rng.Float64(), Entry{Kind: ClockReceived, From: from.name, PeerClock: s.now + from.clockOffset})
			}
		}
	}
}

// text returns a dispatcher's files as one.
func (a *testMember) text() string { return strings.Join(a.lines, "\n") + "\n" }

// audit audits the files of all dispatchers but those named.
func (s *scenario) audit(t *testing.T, bad func(line int, err error), without ...string) *Report {
	t.Helper()
	a := NewAuditor(DefaultRules)
	each := func(entry func(*Entry), send func(*Attempt)) {
		for _, m := range s.members {
			if !slices.Contains(without, m.name) {
				if err := Read(strings.NewReader(m.text()), entry, send, bad); err != nil {
					t.Fatal(err)
				}
			}
		}
	}
	each(a.AddEntry, nil)
	a.Finish()
	each(nil, a.CheckAttempt)
	return a.Report()
}

func failOnBadLine(t *testing.T) func(int, error) {
	t.Helper()
	return func(n int, err error) { t.Errorf("line %d: %v", n, err) }
}

// summary returns what a report names, a line each, without times.
func summary(r *Report) (all []string) {
	for _, b := range r.Violations {
		all = append(all, fmt.Sprintf("broken %s: %s %s %d", b.Dispatcher, b.Rule, b.Node, b.Attempts))
	}
	for _, s := range r.Stragglers {
		all = append(all, fmt.Sprintf("straggler %s: %s %d-%d never=%v sends=%v",
			s.Dispatcher, s.Cause, s.Revision, s.LastRevision, s.Never, s.Attempts > 0))
	}
	all = append(all, r.Gaps...)
	return append(all, r.Inconclusive...)
}

func expectReport(t *testing.T, r *Report, want ...string) {
	t.Helper()
	got := summary(r)
	slices.Sort(got)
	slices.Sort(want)
	if !slices.Equal(got, want) {
		t.Errorf("told:\n  %s\nwanted:\n  %s", strings.Join(got, "\n  "), strings.Join(want, "\n  "))
	}
}

// TestRunWithoutFaults checks that nothing is reported, every attempt is judged, and clocks are corrected within the
// time that messages took.
func TestRunWithoutFaults(t *testing.T) {
	for seed := range uint64(20) {
		s := newScenario(seed, 6)
		for i := range 12 {
			s.run(2)
			s.sendList(fmt.Sprint("w", i%4), []string{"draining", "ready"}[i/4%2])
		}
		s.run(2)
		r := s.audit(t, failOnBadLine(t))
		expectReport(t, r)
		if r.Judged != r.Attempts || r.Attempts != s.attempts || len(r.Versions) != 12 {
			t.Errorf("%d of %d sends judged, %d made; %d versions", r.Judged, r.Attempts, s.attempts, len(r.Versions))
		}
		var reference *testMember
		for i, o := range r.Clocks {
			if o.Reason == "the reference" {
				reference = s.members[i]
			}
		}
		for i, o := range r.Clocks {
			lead := s.members[i].clockOffset - reference.clockOffset
			err := o.Lead - lead
			if err > o.Uncertainty+1e-6 || err < -o.Uncertainty-1e-6 || o.Uncertainty > 0.02 {
				t.Errorf("seed %d: %s: %.4f within %.4f, truly %.4f", seed, o.Dispatcher, o.Lead, o.Uncertainty, lead)
			}
		}
	}
}

// TestFaultsAreReported checks that every fault is reported with its cause, and nothing else, although clocks are off
// by up to two seconds.
func TestFaultsAreReported(t *testing.T) {
	for seed := range uint64(20) {
		s := newScenario(seed, 9)
		m := s.members
		s.run(3)
		s.sendList("w0", "draining") // 1
		s.run(2)
		for range 3 { // d1 goes on by an old list
			s.send(m[1], "w0")
		}
		s.run(1)
		m[2].withoutDiscovery = true
		m[3].withoutDiscovery = true
		m[4].withoutDiscovery = true
		m[5].withoutDiscovery = true
		slept := s.now
		s.add(m[3], 0, Entry{Kind: DiscoverySilent})
		s.sendList("w1", "draining") // 2
		s.run(4, m[2])
		s.sendList("w2", "draining") // 3
		s.add(m[5], 0.01, Entry{Kind: NewerKnown, From: "d0", Source: src, Revision: 3})
		s.run(4, m[2])
		s.add(m[2], 0, Entry{Kind: Paused, LateSeconds: s.now - slept})
		s.add(m[2], 0.06, Entry{Kind: Resumed})
		s.add(m[3], 0, Entry{Kind: DiscoveryResumed})
		for _, a := range m[2:6] {
			a.withoutDiscovery = false
			s.applyList(a, 0.05, "w1", "w2")
		}
		s.now += 0.2
		s.run(2)
		s.add(m[7], 0, Entry{Kind: LeaseChanged, Out: true})
		s.run(1, m[7])
		s.send(m[7], "w3")
		s.add(m[7], 0, Entry{Kind: LeaseChanged})
		s.run(1)
		m[6].lines = slices.DeleteFunc(m[6].lines, func(line string) bool { // d6 lacks some entries, all of clocks
			return strings.Contains(line, `"n":12,`) || strings.Contains(line, `"n":13,`)
		})
		m[0].lines = append(m[0].lines, `{"time":1000000050.1,"by":"d0","life":"l0","n":9999,"wh`) // it died while writing a line
		cut := 0
		r := s.audit(t, func(int, error) { cut++ }, "d8")
		if cut != 2 { // once in each pass
			t.Errorf("%d bad lines", cut)
		}
		expectReport(t, r,
			"broken d1: sent to a worker after it was told that it gets nothing new w0 3",
			"broken d7: sent out of its lease, or before it looked again after a sleep  1",
			"straggler d2: asleep 2-3 never=false sends=false",
			"straggler d3: cut off 2-3 never=false sends=true",
			"straggler d4: not told 2-3 never=false sends=true",
			"straggler d5: told and slow 2-3 never=false sends=true",
			"d6: entries 12 to 13 of life l6 are missing",
			"d6: sends after a hole in life l6 are judged by what is there",
			"d8: others name it, and there is no ledger of it")
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

// TestPeerFactsAreBinding checks that a peer's fact binds like the own list, that it does not once doubted, and that a
// newer own list lifts it.
func TestPeerFactsAreBinding(t *testing.T) {
	s := newScenario(1, 2)
	a := s.members[0]
	s.applyList(a, 0)
	s.add(a, 0, Entry{Kind: FactsReceived, From: "d1", Source: src, Workers: []Worker{{Name: "w0", State: "draining", Revision: 4}}})
	s.now++
	s.send(a, "w0") // broken
	s.add(a, 0, Entry{Kind: FactsDoubted, Workers: []Worker{{Name: "w0", State: "draining", Revision: 4}}})
	s.now++
	s.send(a, "w0") // not
	s.add(a, 0, Entry{Kind: FactsReceived, From: "d1", Source: src, Workers: []Worker{{Name: "w0", State: "gone", Revision: 5}}})
	s.add(a, 0, Entry{Kind: FactsReceived, From: "d1", Source: "other", Workers: []Worker{{Name: "w1", State: "gone", Revision: 5}}})
	s.revision = 6
	s.applyList(a, 0)
	s.now++
	s.send(a, "w0")
	s.send(a, "w1")
	r := s.audit(t, failOnBadLine(t))
	if len(r.Violations) != 1 || r.Violations[0].Attempts != 1 || r.Violations[0].Node != "w0" {
		t.Errorf("%+v", r.Violations)
	}
}

// TestUnknownClockOffsets checks that a clock that was set during the run, and one without messages, are reported and
// taken as they are.
func TestUnknownClockOffsets(t *testing.T) {
	s := newScenario(2, 3)
	s.run(5)
	s.members[1].clockOffset -= 3
	s.run(5)
	lone := &testMember{name: "d9", generation: "l9", state: map[string]string{}}
	s.members = append(s.members, lone)
	s.add(lone, 0, Entry{Kind: Started})
	text := strings.Join(summary(s.audit(t, failOnBadLine(t))), "\n")
	if !strings.Contains(text, "d9: too few messages") || !strings.Contains(text, "was set while it ran") {
		t.Error(text)
	}
}

// TestInconclusiveAttempts checks that attempts without marks, of generations without a log and beyond a log's end are
// reported and not judged.
func TestInconclusiveAttempts(t *testing.T) {
	s := newScenario(3, 2)
	a := s.members[0]
	a.lines = append(a.lines, `{"time":1000000001,"by":"d0","id":"x","class":"c","front":"f","verdict":"in_time","took_ms":1,`+
		`"tries":[{"node":"w0","sent_ms":0,"result":"ok"}]}`)
	a.generation = "later"
	s.send(a, "w0")
	a.generation = "l0"
	a.number = 77
	s.send(a, "w0")
	r := s.audit(t, func(int, error) {})
	text := strings.Join(r.Inconclusive, "\n")
	if r.Judged != 0 || r.Attempts != 3 {
		t.Errorf("%d of %d judged: %s", r.Judged, r.Attempts, text)
	}
	for _, reason := range []string{"without a mark", "of life later", "after the last that is there"} {
		if !strings.Contains(text, reason) {
			t.Errorf("no attempt %s: %s", reason, text)
		}
	}
}

// TestDuplicateFiles checks that files given twice, in any order, have the same result.
func TestDuplicateFiles(t *testing.T) {
	s := newScenario(4, 4)
	s.run(2)
	s.sendList("w1", "draining")
	s.run(2)
	once := s.audit(t, failOnBadLine(t))
	s.members = append(slices.Clone(s.members), s.members[2], s.members[0])
	slices.Reverse(s.members)
	twice := s.audit(t, failOnBadLine(t))
	twice.Attempts = once.Attempts
	twice.Judged = once.Judged
	x, _ := json.Marshal(once)
	y, _ := json.Marshal(twice)
	if !bytes.Equal(x, y) {
		t.Errorf("%s\n%s", x, y)
	}
}

// FuzzRead checks that reading and auditing end whatever the input.
func FuzzRead(f *testing.F) {
	s := newScenario(5, 3)
	s.run(0.3)
	s.sendList("w0", "draining")
	s.run(0.3)
	for _, m := range s.members {
		f.Add([]byte(m.text()))
	}
	f.Add([]byte(`{"time":1,"by":"a","life":"b","n":18446744073709551615,"what":"list","rev":-1,"workers":[{"name":"","state":"gone"}]}`))
	f.Add([]byte("{\n\"what\":\"verdict\":\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		a := NewAuditor(DefaultRules)
		bad := func(int, error) {}
		if err := Read(bytes.NewReader(text), a.AddEntry, nil, bad); err != nil {
			t.Fatal(err)
		}
		a.Finish()
		if err := Read(bytes.NewReader(text), nil, a.CheckAttempt, bad); err != nil {
			t.Fatal(err)
		}
		var plot bytes.Buffer
		if err := a.Report().Plot(&plot); err != nil {
			t.Fatal(err)
		}
	})
}

// BenchmarkAudit measures how fast five dispatchers' files are read and judged.
func BenchmarkAudit(b *testing.B) {
	s := newScenario(6, 5)
	for i := range 40 {
		s.run(5)
		s.sendList(fmt.Sprint("w", i%4), []string{"draining", "ready"}[i/4%2])
	}
	var texts []string
	size := 0
	for _, m := range s.members {
		texts = append(texts, m.text())
		size += len(texts[len(texts)-1])
	}
	b.SetBytes(int64(size))
	for b.Loop() {
		a := NewAuditor(DefaultRules)
		for _, text := range texts {
			_ = Read(strings.NewReader(text), a.AddEntry, nil, func(int, error) {})
		}
		a.Finish()
		for _, text := range texts {
			_ = Read(strings.NewReader(text), nil, a.CheckAttempt, func(int, error) {})
		}
		if r := a.Report(); len(r.Violations) > 0 {
			b.Fatal(r.Violations)
		}
	}
}
