// Package engine models the runners of a service in virtual time: Engine, a language model server that works in
// batches over a shared memory of tokens, and Workers, a plain server with slots and a queue. Both are pure machines:
// they do no I/O and have no clock; the caller tells the time and takes the events. They stand in for outside servers
// in tests, in comparisons of placement policies and in the emulator.
package engine

import (
	"fmt"
	"time"
)

// Priorities of requests; 0 is the most urgent.
const (
	DefaultPriority = 5
	LowestPriority  = 9
)

// Chunk is a part of a prompt. Parts with the same id after the same parts before it are shared between requests.
type Chunk struct {
	ID     uint64
	Tokens int
}

// Request is what a runner is asked to do. Parts, Out and Done are of generations, Work of plain requests.
type Request struct {
	Model         string
	Chunks        []Chunk
	OutputTokens  int           // tokens to generate, in all
	ResumedTokens int           // of them, what another runner has generated already: read as a prompt, not sent again
	Work          time.Duration // of a plain request
	Priority      int           // 0 to 9, 0 first
	Deadline      time.Duration // of the caller's clock; 0: none
}

// PromptTokens is the size of the whole prompt.
func (r *Request) PromptTokens() int {
	n := r.ResumedTokens
	for _, part := range r.Chunks {
		n += part.Tokens
	}
	return n
}

// Task is a request that a machine has taken. Its fields are the machine's to change.
type Task struct {
	Request         *Request
	Admitted        bool // it holds a slot, or has held one
	Executed        bool // it has shown its first token, or its work has begun if it is a plain one
	Ended           bool
	GeneratedTokens int // tokens, those done elsewhere included
	EventsSent      int // events, those of other runners included
	CachedTokens    int // prompt tokens that were kept when it was admitted for the first time
	Preemptions     int // times
	sequence        uint64
	progress        taskProgress
	memory          taskMemory
	admissions      int // times that it got a place
}

// Kind says what an event is.
type Kind uint8

// The kinds of events.
const (
	Started        Kind = iota // the first token has come, or the work has begun
	Emitted                    // an event of the stream is complete; Event.Index is its number, from 1
	Finished                   // the answer is whole
	Expired                    // the deadline passed before it ran: it has not run
	TimedOut                   // the deadline passed while it ran
	Preempted                  // it lost its place and waits again
	ChunkPrefilled             // a part of its prompt has been prefilled; Event.Index is the part's place, from 0
	Lost                       // the machine was stopped
)

var kindNames = [...]string{"started", "emitted", "finished", "expired", "cut-off", "preempted", "part-read", "lost"}

// String is the kind's name.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return fmt.Sprintf("kind(%d)", uint8(k))
}

// Event is what became of a task.
type Event struct {
	At    time.Duration
	Kind  Kind
	Task  *Task
	Index int
}

// State is what a machine says about itself.
type State struct {
	Queued, Running       int
	MemoryPinned          int // tokens that cannot give way
	MemoryCached          int // tokens of parts that nobody uses just now
	MemorySize            int
	PrefilledTokens       int64 // prompt tokens read since the start
	Preemptions, Rejected int64
	Steps                 int64
}

// Server is what Engine and Workers have in common.
type Server interface {
	// Submit hands a request over; false: the machine is full and has not run it.
	Submit(now time.Duration, r *Request) (*Task, bool)
	// Cancel ends a task whose caller has left.
	Cancel(now time.Duration, t *Task)
	// Advance lets the time pass and returns what happened, in order. The slice is valid until the next call.
	Advance(now time.Duration) []Event
	// Next is when something may happen by itself; false: nothing will.
	Next() (time.Duration, bool)
	// Stop ends all tasks as lost.
	Stop(now time.Duration) []Event
	State() State
}

// Options describe an engine.
type Options struct {
	MaxRunning           int           // requests that run at once
	MaxQueued            int           // requests that may wait
	MemoryTokens         int           // shared by running requests and kept parts
	BlockTokens          int           // in which memory is given out; 0: 16
	StepTime             time.Duration // shortest step
	StepTimePerRequest   time.Duration // more, for each running request
	StepTimePerKilotoken time.Duration // more, for each thousand tokens of context of running requests
	PrefillTokensPerMS   float64       // prompt tokens read in a millisecond
	StepTimePerMegapair  time.Duration // more, for each million pairs of a token read and one before it
	PrefillTokensPerStep int           // prompt tokens read in a step at most; 0: 2048
	EventTokens          int           // in an event of a stream; 0: 1
	ExclusivePrefill     bool          // a step reads for one request only, as simple servers do
}

const (
	defaultBlockTokens          = 16
	defaultPrefillTokensPerStep = 2048
	tokensPerKilotoken          = 1000
	pairsPerMegapair            = 1e6
)

// Validate says what is wrong with the options.
func (o *Options) Validate() error {
	switch {
	case o.MaxRunning < 1:
		return fmt.Errorf("engine: %d slots: at least 1 is needed", o.MaxRunning)
	case o.MaxQueued < 0:
		return fmt.Errorf("engine: a queue of %d: it cannot be negative", o.MaxQueued)
	case o.MemoryTokens < 1:
		return fmt.Errorf("engine: memory for %d tokens: at least 1 is needed", o.MemoryTokens)
	case o.StepTime <= 0:
		return fmt.Errorf("engine: a step of %v: it has to take time", o.StepTime)
	case o.PrefillTokensPerMS <= 0:
		return fmt.Errorf("engine: %v prompt tokens a millisecond: it has to read some", o.PrefillTokensPerMS)
	}
	return nil
}

func (o *Options) setDefaults() {
	if o.BlockTokens == 0 {
		o.BlockTokens = defaultBlockTokens
	}
	if o.PrefillTokensPerStep == 0 {
		o.PrefillTokensPerStep = defaultPrefillTokensPerStep
	}
	if o.EventTokens == 0 {
		o.EventTokens = 1
	}
}

// Engine is a language model server: it runs tasks in batches, a token for each in a step, and prefills prompts piece
// by piece within the same steps. Parts of prompts stay in memory until others need the room.
type Engine struct {
	options  Options
	slowdown float64 // multiple of every step's time
	memory   *memory
	running  []*Task // by urgency, then by age
	waiting  []*Task // the same
	batch    []*Task // scratch, of the step that ends
	stepping bool
	stepEnd  time.Duration
	sequence uint64
	events   []Event
	returned []Event // what the last call of Advance returned
	state    State
}

var _ Server = (*Engine)(nil)

// New makes an engine with nothing kept.
func New(o Options) (*Engine, error) {
	if err := o.Validate(); err != nil {
		return nil, err
	}
	o.setDefaults()
	return &Engine{options: o, slowdown: 1, memory: newMemory(o.MemoryTokens, o.BlockTokens)}, nil
}

// SetSlowdown makes each step take so many times as long from the next one on, as just after a start.
func (e *Engine) SetSlowdown(factor float64) { e.slowdown = factor }

// Submit implements Machine. A request larger than the memory is rejected as though the engine were full.
func (e *Engine) Submit(now time.Duration, r *Request) (*Task, bool) {
	e.runSteps(now)
	full := len(e.waiting)+len(e.running) >= e.options.MaxRunning+e.options.MaxQueued
	if full || e.memoryNeed(r) > e.memory.size {
		e.state.Rejected++
		return nil, false
	}
	e.sequence++
	task := &Task{Request: r, GeneratedTokens: r.ResumedTokens, EventsSent: e.completeEvents(r.ResumedTokens), sequence: e.sequence}
	e.waiting = insert(e.waiting, task)
	if !e.stepping {
		e.beginStep(now)
	}
	return task, true
}

// memoryNeed is the room that a request takes when it is nearly done.
func (e *Engine) memoryNeed(r *Request) int {
	room := e.memory.roundUp(max(r.OutputTokens, r.ResumedTokens+1))
	for _, part := range r.Chunks {
		room += e.memory.roundUp(part.Tokens)
	}
	return room
}

// completeEvents is how many whole events so many tokens make.
func (e *Engine) completeEvents(tokens int) int { return tokens / e.options.EventTokens }

// EventCount is how many events an answer of so many tokens has.
func (e *Engine) EventCount(tokens int) int {
	return (tokens + e.options.EventTokens - 1) / e.options.EventTokens
}

// Cancel implements Machine.
func (e *Engine) Cancel(now time.Duration, t *Task) {
	e.runSteps(now)
	if t.Ended {
		return
	}
	e.removeTask(t)
}

// removeTask takes a task out of wherever it is.
func (e *Engine) removeTask(t *Task) {
	t.Ended = true
	e.memory.release(t)
	e.running = remove(e.running, t)
	e.waiting = remove(e.waiting, t)
}

// Advance implements Machine.
func (e *Engine) Advance(now time.Duration) []Event {
	e.runSteps(now)
	e.returned, e.events = e.events, e.returned[:0]
	return e.returned
}

// Next implements Machine.
func (e *Engine) Next() (time.Duration, bool) {
	if len(e.events) > 0 {
		return e.events[0].At, true
	}
	return e.stepEnd, e.stepping
}

// Stop implements Machine. What was kept is gone.
func (e *Engine) Stop(now time.Duration) []Event {
	e.runSteps(now)
	for _, tasks := range [][]*Task{e.running, e.waiting} {
		for _, t := range tasks {
			t.Ended = true
			e.addEvent(now, Lost, t, 0)
		}
	}
	e.running, e.waiting, e.stepping = nil, nil, false
	e.memory = newMemory(e.options.MemoryTokens, e.options.BlockTokens)
	return e.Advance(now)
}

// State implements Machine.
func (e *Engine) State() State {
	s := e.state
	s.Queued, s.Running = len(e.waiting), len(e.running)
	s.MemoryPinned, s.MemoryCached, s.MemorySize = e.memory.pinned, e.memory.cached, e.memory.size
	return s
}

func (e *Engine) addEvent(at time.Duration, kind Kind, t *Task, index int) {
	e.events = append(e.events, Event{At: at, Kind: kind, Task: t, Index: index})
}
