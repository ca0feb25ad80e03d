package engine

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// smallOptions is an engine whose times are easy to reckon: a step of 10 ms, and 10 prompt tokens a millisecond.
func smallOptions() Options {
	return Options{
		MaxRunning:           2,
		MaxQueued:            2,
		MemoryTokens:         1000,
		BlockTokens:          10,
		StepTime:             10 * time.Millisecond,
		PrefillTokensPerMS:   10,
		PrefillTokensPerStep: 100,
		EventTokens:          2,
	}
}

func newEngine(t *testing.T, o Options) *Engine {
	t.Helper()
	e, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	return e
}

func submit(t *testing.T, m Server, at time.Duration, r *Request) *Task {
	t.Helper()
	task, taken := m.Submit(at, r)
	if !taken {
		t.Fatalf("at %v: not taken", at)
	}
	return task
}

// runToEnd advances a server until nothing more is due.
func runToEnd(m Server) (events []Event) {
	for {
		at, ok := m.Next()
		if !ok {
			return events
		}
		events = append(events, m.Advance(at)...)
	}
}

// when is the time of a task's first event of a kind, or -1.
func when(events []Event, t *Task, kind Kind) time.Duration {
	for _, e := range events {
		if e.Task == t && e.Kind == kind {
			return e.At
		}
	}
	return -1
}

func count(events []Event, t *Task, kind Kind) (n int) {
	for _, e := range events {
		if e.Task == t && e.Kind == kind {
			n++
		}
	}
	return n
}

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func TestSingleRequestPrefillAndDecode(t *testing.T) {
	e := newEngine(t, smallOptions())
	task := submit(t, e, 0, &Request{Chunks: []Chunk{{1, 100}, {2, 50}}, OutputTokens: 5, Priority: 5})
	events := runToEnd(e)
	// 100 tokens: 10 + 10 ms; 50 tokens: 10 + 5 ms and the first token; then 4 steps.
	if at := when(events, task, Started); at != ms(35) {
		t.Errorf("started at %v, want 35 ms", at)
	}
	if at := when(events, task, Finished); at != ms(75) {
		t.Errorf("finished at %v, want 75 ms", at)
	}
	if n := count(events, task, Emitted); n != 3 {
		t.Errorf("%d events, want 3 for 5 tokens by 2", n)
	}
}

func TestCachedChunksAreNotPrefilledAgain(t *testing.T) {
	e := newEngine(t, smallOptions())
	submit(t, e, 0, &Request{Chunks: []Chunk{{1, 100}, {2, 50}}, OutputTokens: 1})
	runToEnd(e)
	second := submit(t, e, ms(100), &Request{Chunks: []Chunk{{1, 100}, {3, 20}}, OutputTokens: 1})
	events := runToEnd(e)
	if second.CachedTokens != 100 {
		t.Errorf("%d tokens were cached, want 100", second.CachedTokens)
	}
	if at := when(events, second, Started); at != ms(112) {
		t.Errorf("started at %v, want 112 ms", at)
	}
	other := submit(t, e, ms(200), &Request{Model: "other", Chunks: []Chunk{{1, 100}}, OutputTokens: 1})
	runToEnd(e)
	if other.CachedTokens != 0 {
		t.Errorf("a chunk cached for another model was used")
	}
}

func TestCacheMatchesPrefixesOnly(t *testing.T) {
	e := newEngine(t, smallOptions())
	submit(t, e, 0, &Request{Chunks: []Chunk{{1, 100}, {2, 50}}, OutputTokens: 1})
	runToEnd(e)
	task := submit(t, e, ms(100), &Request{Chunks: []Chunk{{2, 50}}, OutputTokens: 1})
	runToEnd(e)
	if task.CachedTokens != 0 {
		t.Errorf("%d tokens were cached, want none", task.CachedTokens)
	}
}

func TestLeastRecentlyUsedChunksAreEvicted(t *testing.T) {
	o := smallOptions()
	o.MemoryTokens = 300
	e := newEngine(t, o)
	at := time.Duration(0)
	for _, id := range []uint64{1, 2, 1, 3} { // 3 needs the room of 2
		submit(t, e, at, &Request{Chunks: []Chunk{{id, 100}}, OutputTokens: 1})
		runToEnd(e)
		at += time.Second
	}
	for _, want := range []struct {
		id     uint64
		cached int
	}{{1, 100}, {3, 100}, {2, 0}} {
		task := submit(t, e, at, &Request{Chunks: []Chunk{{want.id, 100}}, OutputTokens: 1})
		runToEnd(e)
		if task.CachedTokens != want.cached {
			t.Errorf("chunk %d: %d tokens were cached, want %d", want.id, task.CachedTokens, want.cached)
		}
		at += time.Second
	}
}

func TestMemoryPressurePreemptsNewestOfLowestPriority(t *testing.T) {
	o := smallOptions()
	o.MaxRunning = 3
	o.MemoryTokens = 240
	e := newEngine(t, o)
	urgent := submit(t, e, 0, &Request{Chunks: []Chunk{{1, 50}}, OutputTokens: 60, Priority: 1})
	older := submit(t, e, 0, &Request{Chunks: []Chunk{{2, 50}}, OutputTokens: 60, Priority: 5})
	newest := submit(t, e, 0, &Request{Chunks: []Chunk{{3, 50}}, OutputTokens: 60, Priority: 5})
	events := runToEnd(e)
	if urgent.Preemptions != 0 || older.Preemptions != 0 || newest.Preemptions == 0 {
		t.Errorf("preempted %d, %d and %d times, want only the last", urgent.Preemptions, older.Preemptions, newest.Preemptions)
	}
	for _, task := range []*Task{urgent, older, newest} {
		if n := count(events, task, Emitted); n != 30 {
			t.Errorf("%d events, want 30", n)
		}
	}
}

func TestHigherPriorityPreemptsLower(t *testing.T) {
	e := newEngine(t, smallOptions())
	a := submit(t, e, 0, &Request{Chunks: []Chunk{{1, 10}}, OutputTokens: 50, Priority: 5})
	b := submit(t, e, 0, &Request{Chunks: []Chunk{{2, 10}}, OutputTokens: 50, Priority: 5})
	urgent := submit(t, e, ms(100), &Request{Chunks: []Chunk{{3, 10}}, OutputTokens: 1, Priority: 0})
	same := submit(t, e, ms(100), &Request{Chunks: []Chunk{{4, 10}}, OutputTokens: 1, Priority: 5})
	events := runToEnd(e)
	if a.Preemptions != 0 || b.Preemptions != 1 {
		t.Errorf("preempted %d and %d times, want the newer once", a.Preemptions, b.Preemptions)
	}
	if at := when(events, urgent, Finished); at > ms(150) {
		t.Errorf("the urgent one finished at %v", at)
	}
	if when(events, same, Started) < when(events, a, Finished) {
		t.Errorf("one that is as urgent and newer went first")
	}
}

func TestDeadlines(t *testing.T) {
	e := newEngine(t, smallOptions())
	for range 2 {
		submit(t, e, 0, &Request{Chunks: []Chunk{{1, 10}}, OutputTokens: 20})
	}
	waits := submit(t, e, 0, &Request{Chunks: []Chunk{{3, 10}}, OutputTokens: 1, Deadline: ms(50)})
	runs := submit(t, e, 0, &Request{Chunks: []Chunk{{4, 10}}, OutputTokens: 500, Deadline: ms(700)})
	events := runToEnd(e)
	if when(events, waits, Expired) < 0 || waits.Executed {
		t.Errorf("the one that waited has not expired")
	}
	if when(events, runs, TimedOut) < 0 || !runs.Executed {
		t.Errorf("the one that ran was not cut off")
	}
}

func TestFullEngineRejects(t *testing.T) {
	e := newEngine(t, smallOptions())
	for i := range 4 {
		submit(t, e, 0, &Request{Chunks: []Chunk{{uint64(i), 10}}, OutputTokens: 5})
	}
	if _, taken := e.Submit(0, &Request{Chunks: []Chunk{{9, 10}}, OutputTokens: 5}); taken {
		t.Error("one more than the places was taken")
	}
	runToEnd(e)
	if _, taken := e.Submit(time.Second, &Request{Chunks: []Chunk{{9, 2000}}, OutputTokens: 5}); taken {
		t.Error("a request larger than the memory was taken")
	}
}

func TestResumedRequestEmitsRemainingEvents(t *testing.T) {
	e := newEngine(t, smallOptions())
	task := submit(t, e, 0, &Request{Chunks: []Chunk{{1, 10}}, OutputTokens: 10, ResumedTokens: 6})
	events := runToEnd(e)
	if n := count(events, task, Emitted); n != 2 {
		t.Errorf("%d events, want 2", n)
	}
	for _, e := range events {
		if e.Kind == Emitted && e.Index < 4 {
			t.Errorf("event %d was sent before", e.Index)
		}
	}
}

func TestStopEndsAllTasksAsLost(t *testing.T) {
	e := newEngine(t, smallOptions())
	task := submit(t, e, 0, &Request{Chunks: []Chunk{{1, 10}}, OutputTokens: 10})
	events := e.Stop(ms(30))
	if when(events, task, Lost) != ms(30) {
		t.Error("the task was not lost")
	}
	if _, ok := e.Next(); ok {
		t.Error("a stopped engine goes on")
	}
}

// TestEngineInvariants submits, cancels and lets time pass at random: memory never exceeds its size and comes back
// whole, every task ends, and the events of each are complete and in order.
func TestEngineInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := smallOptions()
		o.MaxRunning = rapid.IntRange(1, 5).Draw(t, "slots")
		o.MemoryTokens = rapid.IntRange(150, 600).Draw(t, "memory")
		o.StepTimePerRequest = ms(1)
		o.StepTimePerKilotoken = ms(1)
		o.StepTimePerMegapair = ms(1)
		e, err := New(o)
		if err != nil {
			t.Fatal(err)
		}
		now := time.Duration(0)
		var tasks []*Task
		var events []Event
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				r := drawRequest(t, now)
				if task, taken := e.Submit(now, r); taken {
					tasks = append(tasks, task)
				}
			case 2:
				if len(tasks) > 0 {
					e.Cancel(now, rapid.SampledFrom(tasks).Draw(t, "task"))
				}
			default:
				now += ms(rapid.IntRange(0, 200).Draw(t, "ms"))
			}
			events = append(events, e.Advance(now)...)
			checkMemory(t, e)
		}
		events = append(events, runToEnd(e)...)
		checkMemory(t, e)
		if e.memory.pinned != 0 {
			t.Fatalf("%d tokens are held by nobody", e.memory.pinned)
		}
		for _, task := range tasks {
			checkTask(t, e, events, task)
		}
	})
}

func drawRequest(t *rapid.T, now time.Duration) *Request {
	r := &Request{OutputTokens: rapid.IntRange(1, 40).Draw(t, "out"), Priority: rapid.IntRange(0, 9).Draw(t, "priority")}
	for range rapid.IntRange(1, 3).Draw(t, "parts") {
		id := rapid.Uint64Range(1, 4).Draw(t, "part")
		r.Chunks = append(r.Chunks, Chunk{id, int(id) * 17})
	}
	if rapid.Bool().Draw(t, "deadline") {
		r.Deadline = now + ms(rapid.IntRange(1, 500).Draw(t, "left"))
	}
	r.ResumedTokens = min(r.OutputTokens-1, rapid.IntRange(0, 3).Draw(t, "done")*2)
	r.ResumedTokens -= r.ResumedTokens % 2
	return r
}

func checkMemory(t *rapid.T, e *Engine) {
	ownTokens, cached, pinned := 0, 0, 0
	for _, task := range e.running {
		ownTokens += task.memory.ownTokens
	}
	var walk func(n *cacheNode)
	walk = func(n *cacheNode) {
		for _, child := range n.children {
			if child.users == 0 {
				cached += child.tokens
			} else {
				pinned += child.tokens
			}
			walk(child)
		}
	}
	for _, root := range e.memory.models {
		walk(root)
	}
	if e.memory.cached != cached || e.memory.pinned != pinned+ownTokens {
		t.Fatalf("kept %d and pinned %d, but the tree has %d and %d, and tasks %d", e.memory.cached, e.memory.pinned, cached,
			pinned, ownTokens)
	}
	if cached+pinned+ownTokens > e.memory.size {
		t.Fatalf("%d tokens in a memory of %d", cached+pinned+ownTokens, e.memory.size)
	}
	if len(e.running) > e.options.MaxRunning {
		t.Fatalf("%d tasks run in %d slots", len(e.running), e.options.MaxRunning)
	}
}

func checkTask(t *rapid.T, e *Engine, events []Event, task *Task) {
	if !task.Ended {
		t.Fatalf("a task has not ended: %+v", task.Request)
	}
	next := task.Request.ResumedTokens/e.options.EventTokens + 1
	finished := false
	for _, event := range events {
		if event.Task != task {
			continue
		}
		if finished {
			t.Fatalf("%v after the end", event.Kind)
		}
		switch event.Kind {
		case Emitted:
			if event.Index != next {
				t.Fatalf("event %d comes where %d should", event.Index, next)
			}
			next++
		case Finished:
			finished = true
			if next != e.EventCount(task.Request.OutputTokens)+1 {
				t.Fatalf("finished before event %d of %d", next, e.EventCount(task.Request.OutputTokens))
			}
		case Expired, TimedOut:
			finished = true
			if (event.Kind == TimedOut) != task.Executed {
				t.Fatalf("%v, though ran is %v", event.Kind, task.Executed)
			}
		}
	}
}

func TestWorkers(t *testing.T) {
	w, err := NewWorkers(1, 1)
	if err != nil {
		t.Fatal(err)
	}
	first := submit(t, w, 0, &Request{Work: ms(10)})
	second := submit(t, w, ms(1), &Request{Work: ms(10), Deadline: ms(15)})
	if _, taken := w.Submit(ms(2), &Request{Work: ms(10)}); taken {
		t.Error("a third was taken")
	}
	events := runToEnd(w)
	if when(events, first, Finished) != ms(10) || when(events, second, TimedOut) != ms(15) {
		t.Errorf("events: %+v", events)
	}
	third := submit(t, w, ms(20), &Request{Work: ms(10)})
	late := submit(t, w, ms(20), &Request{Work: ms(10), Deadline: ms(25)})
	events = runToEnd(w)
	if when(events, third, Finished) != ms(30) || when(events, late, Expired) != ms(30) || late.Executed {
		t.Errorf("events: %+v", events)
	}
}

func TestSlowStartArrivals(t *testing.T) {
	c := SlowStart{Rate: 2, MaxMultiple: 1.5, Allowance: 1, CrashMultiple: 4}
	c.Begin(10 * time.Second)
	crashes := 0
	for i := range 9 {
		if c.RecordArrival(ms(i)) {
			crashes++
		}
	}
	if c.PeakArrivals() != 9 || c.Violations() != 5 || crashes != 1 {
		t.Errorf("worst %d, broken %d, crashes %d; want 9, 5 and 1", c.PeakArrivals(), c.Violations(), crashes)
	}
	if c.RecordArrival(11 * time.Second); c.PeakArrivals() != 9 {
		t.Error("counted while warm")
	}
}
