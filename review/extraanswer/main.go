// Command extraanswer is a case of the review: a runner that is full rejects a request, and that answer arrives once more, late, in
// the place of the next answer on its connection.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"cinderroad/review/stage"
)

const (
	host      = "letters.example"
	rounds    = 8
	calmTries = 80   // between two overloads
	maxExtra  = 0.03 // share of the first runner's answers that arrive twice
	idleClose = time.Second
)

// world is the two runners of a service, of which the first alone is in the home region of the route, and what became of each try.
type world struct {
	stage  *stage.Stage
	first  *stage.Runner
	second *stage.Runner

	mutex      sync.Mutex
	overloaded bool
	arrivals   map[string]int
	ran        map[string]int
	answers    int                          // of the first runner
	extras     int                          // of these, sent once more
	doubled    map[*stage.RunnerConn]string // connections on which a rejection is to be sent once more, with its try
	idle       map[*stage.RunnerConn]*time.Timer
}

func main() { stage.Main(stage.Options{Cores: 3, Edges: 2}, run) }

func run(s *stage.Stage) (broken bool, err error) {
	w := &world{
		stage: s, arrivals: map[string]int{}, ran: map[string]int{}, doubled: map[*stage.RunnerConn]string{},
		idle: map[*stage.RunnerConn]*time.Timer{},
	}
	if w.first, err = s.StartRunner("i-1", "letters", "milano-a", 110, w.serve); err != nil {
		return false, err
	}
	if w.second, err = s.StartRunner("i-2", "letters", "padova-1", 111, w.serve); err != nil {
		return false, err
	}
	s.Platform.Set(w.first.Entry, w.second.Entry)
	if _, err = s.StartAll(); err != nil {
		return false, err
	}
	route := stage.Route{
		Name: "letters", Host: host, PathStart: "/letters/", Type: "writes", TimeoutMS: 5000, TargetMS: 500, Service: "letters", Tries: 3,
		HomeRegions: []string{"nord-ovest"},
	}
	if err = s.Configure(0, stage.Configuration(7, []string{"letters"}, route)); err != nil {
		return false, err
	}
	if err = s.AwaitReady(); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second) // the budget of retries grows after a start
	for round := range rounds {
		if w.round(round) {
			broken = true
		}
	}
	s.Log("runner i-1: %d answers, %d of them once more", w.answers, w.extras)
	return broken, nil
}

// round has the runners serve some requests, then be full for a moment in which one more request comes.
func (w *world) round(round int) (broken bool) {
	served := 0
	for i := range calmTries {
		response := w.send(fmt.Sprintf("calm-%d-%d", round, i))
		if response.Status == http.StatusOK {
			served++
		}
	}
	w.stage.Log("client: %d of %d requests served in a calm time", served, calmTries)
	time.Sleep(idleClose + 300*time.Millisecond) // the runners close idle connections
	w.setOverloaded(true)
	tryID := fmt.Sprintf("try-%d", round+1)
	response := w.send(tryID)
	time.Sleep(400 * time.Millisecond)
	w.setOverloaded(false)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.stage.Log("client: %s got %s; it arrived %d times and ran %d times", tryID, response.Text(), w.arrivals[tryID], w.ran[tryID])
	return (response.Status == http.StatusServiceUnavailable || response.Status == http.StatusTooManyRequests) && w.ran[tryID] > 0
}

func (w *world) send(tryID string) stage.Response {
	return stage.Try(w.stage.Edges[0].Front(), "POST", host, "/letters/1", tryID, "", []byte("a letter"), 3*time.Second)
}

// setOverloaded has the first runner be full, or not any more.
func (w *world) setOverloaded(overloaded bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.overloaded = overloaded
}

// serve answers a request: the first two arrivals of a try during an overload are rejected, every other one runs.
func (w *world) serve(c *stage.RunnerConn, r *stage.RunnerRequest) {
	extra, rejected, logged := w.judge(c, r.TryID)
	if logged {
		w.stage.Log("runner %s: %s arrives on connection %d, request %d there", c.Runner.Entry.ID, r.TryID, c.Number, c.Requests)
	}
	if extra != "" {
		w.stage.Log("runner %s: its rejection of %s arrives once more", c.Runner.Entry.ID, extra)
		c.Answer("503 Service Unavailable", extra, "X-Not-Run: 1\r\n", "")
	}
	if rejected {
		w.stage.Log("runner %s: is full, rejects %s", c.Runner.Entry.ID, r.TryID)
		c.Answer("503 Service Unavailable", r.TryID, "X-Not-Run: 1\r\n", "")
		return
	}
	if logged {
		w.stage.Log("runner %s: runs %s", c.Runner.Entry.ID, r.TryID)
		time.Sleep(50 * time.Millisecond)
	}
	c.Answer("200 OK", r.TryID, "X-Server-Seal: seal-"+r.TryID+"\r\n", "done "+r.TryID)
}

// judge records an arrival. It returns the try whose rejection is sent once more before the answer, if any, whether the request
// is rejected, and whether it is one of those that are logged.
func (w *world) judge(c *stage.RunnerConn, tryID string) (extra string, rejected, logged bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.arrivals[tryID]++
	if timer := w.idle[c]; timer != nil {
		timer.Stop()
	}
	w.idle[c] = time.AfterFunc(idleClose, func() { _ = c.Close() })
	extra = w.doubled[c]
	delete(w.doubled, c)
	logged = w.overloaded
	rejected = w.overloaded && w.arrivals[tryID] <= 2
	if extra != "" {
		w.extras++
	}
	if !rejected {
		w.ran[tryID]++
	}
	if c.Runner != w.first {
		return extra, rejected, logged
	}
	w.answers++
	if rejected && w.arrivals[tryID] == 1 && stage.Trouble() && float64(w.extras+1) <= maxExtra*float64(w.answers) {
		w.doubled[c] = tryID
	}
	return extra, rejected, logged
}
