// Command outage has the platform's list fail while a zone is taken back, and counts what the zone's cold runner gets.
package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"cinderroad/internal/testkit/answer"
	"cinderroad/internal/testkit/fakeplatform"
	"cinderroad/review/rig"
)

const (
	perSecond  = 50 // requests of the clients at the first edge machine
	timeLeft   = 10 * time.Second
	work       = 30 * time.Millisecond // of a runner on a request
	capacity   = 64
	coldFor    = 3 * time.Second
	coldRate   = 9.2
	coldExcess = 1.5
	coldSlack  = 5
	fallRate   = 4 * coldRate // requests in a second at which a cold runner falls over, as in the emulator of the project
	// Times from the order to empty the zone:
	failAfter   = 1500 * time.Millisecond // the platform's list fails
	coldAfter   = 2000 * time.Millisecond // the runner becomes cold
	finishAfter = 2200 * time.Millisecond // the zone is taken back
	mendAfter   = 5500 * time.Millisecond // the platform's list is back
)

// Results of the case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// ledger records when clients sent each request, and when the runner in the zone got it.
type ledger struct {
	mutex    sync.Mutex
	sent     map[string]time.Time
	arrived  map[string]time.Time
	statuses map[int]int
	coldAt   time.Time // zero: the runner is not cold yet
}

func main() { os.Exit(run()) }

func run() int {
	r, err := rig.New(rig.Options{Core: 3, Edges: 2})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer r.Close()
	l := &ledger{sent: map[string]time.Time{}, arrived: map[string]time.Time{}, statuses: map[int]int{}}
	coldAt, err := play(r, l, os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.Log("the case can't run: %v", err)
		return failed
	}
	most, mostFresh := l.mostInSecond(coldAt)
	bound := coldRate*coldExcess + coldSlack
	r.Log("answers of the clients by status: %v", l.statuses)
	r.Log("most requests in a second at the cold runner: %d, of them sent by their clients within that second: %d; bound %.1f",
		most, mostFresh, bound)
	if float64(mostFresh) > bound {
		return broken
	}
	return held
}

// play returns when the runner became cold.
func play(r *rig.Rig, l *ledger, trouble bool) (coldAt time.Time, err error) {
	entries := map[string]fakeplatform.Entry{}
	for i, zone := range []string{"a", "c"} {
		id := fmt.Sprintf("i-%d", i+1)
		started, err := r.StartRunner(id, "llm", zone, func(c *rig.RunnerConn, request *http.Request, _ []byte) {
			if zone == "a" && l.noteArrival(request.Header.Get(answer.HeaderAttemptID)) {
				c.Runner.Log("falls over: it got %.1f requests in a second while cold", fallRate)
				c.Runner.Crash()
				return
			}
			c.Succeed(request, work, 800)
		})
		if err != nil {
			return coldAt, err
		}
		entries[zone] = started.Entry(capacity)
		r.Platform.Set(entries[zone])
	}
	services := []rig.Service{{
		Name: "llm", Health: "/health", MaxConns: 2100, Protocol: "h1", ColdFor: coldFor.Seconds(), ColdRate: coldRate,
	}}
	routes := []rig.Route{{
		Name: "r-1", Host: "h.example", Path: "/llm/", Type: "writes", Timeout: 10000, Target: 800, Service: "llm", Tries: 1,
		HomeRegions: []string{},
	}}
	if err := r.StartAll(rig.NewConfiguration(1, services, routes)); err != nil {
		return coldAt, err
	}
	time.Sleep(6 * time.Second) // all machines are in touch
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() { l.ask(r, &clients, stop) })
	time.Sleep(3 * time.Second)
	coldAt, err = evacuate(r, l, entries["a"], trouble)
	time.Sleep(2 * time.Second)
	close(stop)
	clients.Wait()
	return coldAt, err
}

// evacuate empties zone a and takes it back; its runner becomes cold shortly before that. Meanwhile the platform's list fails.
func evacuate(r *rig.Rig, l *ledger, entry fakeplatform.Entry, trouble bool) (coldAt time.Time, err error) {
	begin := time.Now()
	if err := r.Order("/-/DrainZone.Begin/a"); err != nil {
		return coldAt, err
	}
	time.Sleep(time.Until(begin.Add(failAfter)))
	r.Platform.SetFailing(trouble)
	r.Log("platform: the list fails: %v", trouble)
	time.Sleep(time.Until(begin.Add(coldAfter)))
	coldAt = time.Now()
	l.mutex.Lock()
	l.coldAt = coldAt
	l.mutex.Unlock()
	entry.SlowStartUntil = coldAt.Add(coldFor)
	r.Platform.Set(entry)
	r.Log("runner %s is cold for %v", entry.ID, coldFor)
	time.Sleep(time.Until(begin.Add(finishAfter)))
	if err := r.Order("/-/DrainZone.Finish/a"); err != nil {
		return coldAt, err
	}
	time.Sleep(time.Until(begin.Add(mendAfter)))
	r.Platform.SetFailing(false)
	r.Log("platform: the list is back")
	return coldAt, nil
}

// ask sends requests until stop is closed, each over a connection of its own.
func (l *ledger) ask(r *rig.Rig, clients *sync.WaitGroup, stop <-chan struct{}) {
	ticker := time.NewTicker(time.Second / perSecond)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		clients.Go(func() {
			request := rig.Request{
				Try: fmt.Sprintf("t%04d", i), Host: "h.example", Path: "/llm/x", Body: "q", TimeLeft: timeLeft,
			}
			l.mutex.Lock()
			l.sent[request.Try] = time.Now()
			l.mutex.Unlock()
			r.Log("client: try %s is sent", request.Try)
			outcome := (&rig.Link{}).Exchange(r.Edges[0].Front(), request)
			r.Log("client: try %s: %v", request.Try, outcome)
			l.mutex.Lock()
			l.statuses[outcome.Status]++
			l.mutex.Unlock()
		})
	}
}

// noteArrival records that the runner in the zone got a request, and reports whether it falls over.
func (l *ledger) noteArrival(try string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := time.Now()
	l.arrived[try] = now
	if l.coldAt.IsZero() || now.After(l.coldAt.Add(coldFor)) {
		return false
	}
	count := 0
	for _, at := range l.arrived {
		if at.After(l.coldAt) && now.Sub(at) < time.Second {
			count++
		}
	}
	return float64(count) >= fallRate
}

// mostInSecond returns the most requests that the runner got within a second while it was cold, and the most of them that their
// clients sent within the same second.
func (l *ledger) mostInSecond(coldAt time.Time) (most, mostFresh int) {
	for _, end := range l.arrived {
		from := end.Add(-time.Second)
		if from.Before(coldAt) || end.After(coldAt.Add(coldFor)) {
			continue
		}
		count, fresh := 0, 0
		for try, at := range l.arrived {
			if at.Before(from) || at.After(end) {
				continue
			}
			count++
			if !l.sent[try].Before(from) {
				fresh++
			}
		}
		most, mostFresh = max(most, count), max(mostFresh, fresh)
	}
	return most, mostFresh
}
