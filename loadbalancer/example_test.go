package loadbalancer_test

import (
	"fmt"

	"cinderroad/loadbalancer"
)

// printer carries out a decision by printing it; a dispatcher would use its network and its timers.
type printer struct{}

func (printer) Send(id loadbalancer.RequestID, w loadbalancer.WorkerID, timeout float64) {
	fmt.Printf("send request %d to worker %d\n", id, w)
}
func (printer) Reject(id loadbalancer.RequestID, wait float64) { fmt.Printf("refuse request %d\n", id) }
func (printer) Fail(id loadbalancer.RequestID)                 { fmt.Printf("fail request %d\n", id) }
func (printer) Cancel(id loadbalancer.RequestID, attempt int)  {}
func (printer) Probe(w loadbalancer.WorkerID)                  {}
func (printer) SetTimer(token uint32, at float64)              {}
func (printer) Watch(on bool)                                  {}
func (printer) Fetch()                                         {}
func (printer) Log(line string)                                { fmt.Println(line) }

func Example() {
	b, err := loadbalancer.New(loadbalancer.Settings{
		Classes: []loadbalancer.Class{{
			Name:        "lookup",
			Objective:   0.1,
			Deadline:    5,
			RetrySafety: loadbalancer.RetrySafe,
			Kind:        -1,
		}},
		Zones:                 1,
		Instances:             1,
		MaxAttempts:           3,
		Tick:                  0.005,
		SlowStartDuration:     20,
		SlowStartInitialShare: 0.2,
		OverloadMultiple:      3,
		OverloadWindow:        1.5,
		AnswerSlack:           0.02,
	}, 1, printer{})
	if err != nil {
		fmt.Println(err)
		return
	}
	b.Start(100)
	b.UpdateWorkers(100, loadbalancer.ListFull, []loadbalancer.Worker{
		{ID: 7, State: loadbalancer.Ready},
		{ID: 8, State: loadbalancer.Draining},
	})
	b.HandleRequest(100.5, &loadbalancer.Request{ID: 1, Slots: 1, Deadline: 105.5})
	b.HandleOutcome(100.6, &loadbalancer.Outcome{Request: 1, Worker: 7, Result: loadbalancer.Rejected})
	b.HandleOutcome(100.7, &loadbalancer.Outcome{Request: 1, Attempt: 1, Worker: 7, Result: loadbalancer.OK, ClientAnswered: true})
	// Output:
	// send request 1 to worker 7
	// worker 7 set aside: it takes nothing (1.2 s)
	// send request 1 to worker 7
}
