// Package mutate repeats a recorded run of state machines once for each message and each mutation of that message:
// loss, duplication, delay, reordering, misdelivery, truncation, bit flips and valid but different contents. It works
// for any machines that exchange byte messages; the caller supplies the run, which checks its own invariants and must
// be deterministic.
package mutate

import (
	"fmt"
	"sort"
	"strings"
	"sync"
)

// Message is one message of a run. Runs number them from 0 in the order of sending.
type Message struct {
	From, To uint64
	Data     []byte
}

// Delivery is one delivery of a message; a message may have none or several.
type Delivery struct {
	To    uint64
	Data  []byte
	Delay float64 // added to the link's own latency, in seconds
}

// Tamper returns the deliveries of the message with a number.
type Tamper func(n int, m Message) []Delivery

// Run executes the run with a tamper function. The outcome describes its final state; an error means that an
// invariant was violated. Runs may be executed concurrently.
type Run func(tamper Tamper) (outcome string, err error)

// DeliverUnchanged is the Tamper that changes nothing.
func DeliverUnchanged(n int, m Message) []Delivery { return []Delivery{{m.To, m.Data, 0}} }

// Options select the mutations.
type Options struct {
	Delays       []float64                           // seconds, chosen just past the timeouts that a message takes part in
	Variants     func(data []byte) map[string][]byte // valid messages with other contents, by the name of the change; nil: none
	Stride       int                                 // every n-th pair of message and mutation is run; 0 or 1: all
	Parallelism  int                                 // concurrent runs; 0: 1
	OtherMembers []uint64                            // destinations for misdelivery
}

// Report counts the runs by kind of mutation.
type Report struct {
	Messages     int
	Runs         map[string]int
	SameOutcome  map[string]int // by kind: same outcome as the unchanged run
	OtherOutcome map[string]int // by kind: another outcome, without a violation
	Violations   []Violation
}

// Violation is a run in which an invariant was violated.
type Violation struct {
	Message  int
	Mutation string
	Err      error
}

// String formats the report: a line for each kind of mutation, by name.
func (r *Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d messages\n", r.Messages)
	var kinds []string
	for kind := range r.Runs {
		kinds = append(kinds, kind)
	}
	sort.Strings(kinds)
	violations := map[string]int{}
	for _, violation := range r.Violations {
		violations[kindOf(violation.Mutation)]++
	}
	for _, kind := range kinds {
		fmt.Fprintf(&b, "%-12s %5d runs, %5d as without, %4d otherwise, %4d broke\n",
			kind, r.Runs[kind], r.SameOutcome[kind], r.OtherOutcome[kind], violations[kind])
	}
	return b.String()
}

// kindOf returns the kind of a mutation: the first word of its description.
func kindOf(mutation string) string { return strings.SplitN(mutation, " ", 2)[0] }

// mutatedRun is a run to be executed: the recorded one with a mutation of one message.
type mutatedRun struct {
	message  int    // number of the message
	mutation string // description: the kind, and what the mutations of one kind differ in
	tamper   Tamper
}

// RunAll records the unchanged run, then executes one run for each selected mutation and returns when all have ended.
func RunAll(run Run, options Options) (*Report, error) {
	var messages []Message
	baseline, err := run(func(n int, m Message) []Delivery {
		m.Data = append([]byte(nil), m.Data...)
		messages = append(messages, m)
		return DeliverUnchanged(n, m)
	})
	if err != nil {
		return nil, fmt.Errorf("the unchanged run violates an invariant: %w", err)
	}
	var runs []mutatedRun
	for n := range messages {
		runs = append(runs, mutations(messages, n, options)...)
	}
	report := &Report{
		Messages:     len(messages),
		Runs:         map[string]int{},
		SameOutcome:  map[string]int{},
		OtherOutcome: map[string]int{},
	}
	var mutex sync.Mutex // guards report
	var workers sync.WaitGroup
	queue := make(chan mutatedRun)
	for range max(options.Parallelism, 1) {
		workers.Go(func() {
			for mutated := range queue {
				outcome, err := run(mutated.tamper)
				mutex.Lock()
				report.add(&mutated, outcome == baseline, err)
				mutex.Unlock()
			}
		})
	}
	for i, mutated := range runs {
		if i%max(options.Stride, 1) == 0 {
			queue <- mutated
		}
	}
	close(queue)
	workers.Wait()
	sort.Slice(report.Violations, func(i, j int) bool { return report.Violations[i].Message < report.Violations[j].Message })
	return report, nil
}

// add counts a run. same is whether its outcome was that of the unchanged run; err is the invariant that it violated.
func (r *Report) add(mutated *mutatedRun, same bool, err error) {
	kind := kindOf(mutated.mutation)
	r.Runs[kind]++
	switch {
	case err != nil:
		r.Violations = append(r.Violations, Violation{mutated.message, mutated.mutation, err})
	case same:
		r.SameOutcome[kind]++
	default:
		r.OtherOutcome[kind]++
	}
}
