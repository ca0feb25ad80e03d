// Package mutate plays a recorded run of state machines again, once for each message and each way to spoil that one message. Any machines
// that talk in messages of bytes will do: the caller brings the run, which says itself whether what must hold still does.
package mutate

import (
	"fmt"
	"sort"
	"strings"
	"sync"
)

// Message is one message of a run, in the order of their sending.
type Message struct {
	From, To uint64
	Data     []byte
}

// Delivery is what comes of a message.
type Delivery struct {
	To    uint64
	Data  []byte
	Delay float64 // seconds beside the way's own
}

// Tamper decides what comes of the n-th message.
type Tamper func(n int, m Message) []Delivery

// Run plays the run with a tamper. The outcome names what it ended in; an error is that something did not hold.
type Run func(tamper Tamper) (outcome string, err error)

// DeliverUnchanged delivers messages as they are.
func DeliverUnchanged(n int, m Message) []Delivery { return []Delivery{{m.To, m.Data, 0}} }

// Options are what is played.
type Options struct {
	Delays       []float64                           // seconds past each time-out that a message touches
	Variants     func(data []byte) map[string][]byte // other valid messages, their checksums right, by what was changed
	Stride       int                                 // every so many-th pair of message and mutation; 1 is all
	Parallelism  int                                 // runs side by side
	OtherMembers []uint64                            // members that a message may be led to
}

// Report counts what the runs came to, by kind of mutation.
type Report struct {
	Messages     int
	Runs         map[string]int
	SameOutcome  map[string]int // ended as without
	OtherOutcome map[string]int // ended otherwise, and all held
	Violations   []Violation
}

// Violation is a run in which something did not hold.
type Violation struct {
	Message  int
	Mutation string
	Err      error
}

func (r *Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d messages\n", r.Messages)
	var kinds []string
	for kind := range r.Runs {
		kinds = append(kinds, kind)
	}
	sort.Strings(kinds)
	violations := map[string]int{}
	for _, x := range r.Violations {
		violations[kindOf(x.Mutation)]++
	}
	for _, kind := range kinds {
		fmt.Fprintf(&b, "%-12s %5d runs, %5d as without, %4d otherwise, %4d broke\n", kind, r.Runs[kind], r.SameOutcome[kind], r.OtherOutcome[kind], violations[kind])
	}
	return b.String()
}

func kindOf(mutation string) string { return strings.SplitN(mutation, " ", 2)[0] }

type mutatedRun struct {
	message  int
	mutation string
	tamper   Tamper
}

// RunAll records the run and plays all its mutations, or a slice of them.
func RunAll(run Run, options Options) (*Report, error) {
	var messages []Message
	baseline, err := run(func(n int, m Message) []Delivery {
		m.Data = append([]byte(nil), m.Data...)
		messages = append(messages, m)
		return DeliverUnchanged(n, m)
	})
	if err != nil {
		return nil, fmt.Errorf("the run does not hold by itself: %w", err)
	}
	var runs []mutatedRun
	for n := range messages {
		runs = append(runs, mutations(messages, n, options)...)
	}
	report := &Report{Messages: len(messages), Runs: map[string]int{}, SameOutcome: map[string]int{}, OtherOutcome: map[string]int{}}
	var mu sync.Mutex
	var wg sync.WaitGroup
	queue := make(chan mutatedRun)
	for range max(options.Parallelism, 1) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for p := range queue {
				outcome, err := run(p.tamper)
				kind := kindOf(p.mutation)
				mu.Lock()
				report.Runs[kind]++
				switch {
				case err != nil:
					report.Violations = append(report.Violations, Violation{p.message, p.mutation, err})
				case outcome == baseline:
					report.SameOutcome[kind]++
				default:
					report.OtherOutcome[kind]++
				}
				mu.Unlock()
			}
		}()
	}
	for i, p := range runs {
		if i%max(options.Stride, 1) == 0 {
			queue <- p
		}
	}
	close(queue)
	wg.Wait()
	sort.Slice(report.Violations, func(i, j int) bool { return report.Violations[i].Message < report.Violations[j].Message })
	return report, nil
}
