// Command lateanswer has a runner that is full turn requests away, and later send that answer once more in the place of the
// next one. It tells whether a client was refused a request that cannot be repeated and that was run.
package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"cinderroad/internal/testkit/answer"
	"cinderroad/review/rig"
)

const (
	rounds   = 8
	timeLeft = 3 * time.Second
	work     = 20 * time.Millisecond // of a runner on a request
	// pause is the time between two rounds: the budget of retries allows that many.
	pause = 1500 * time.Millisecond
	// fullPrefix begins the ids of the tries for which the runner is full when they first come.
	fullPrefix = "full"
)

// Results of the case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// behaviour is that of the runners.
type behaviour struct {
	trouble bool // an answer may come once more

	mutex sync.Mutex
	seen  map[string]bool // by try
}

// handle answers a request. A runner that is full resets new connections, as one with a long queue may.
func (b *behaviour) handle(c *rig.RunnerConn, request *http.Request, _ []byte) {
	try := request.Header.Get(answer.HeaderAttemptID)
	c.Runner.Log("gets try %s on connection %d", try, c.Number)
	if c.Extra != nil && b.trouble {
		c.Runner.Log("sends its last answer once more on connection %d", c.Number)
		_, _ = c.Write(c.Extra)
	}
	c.Extra = nil
	if b.isFull(try) {
		c.Runner.Log("is full: it turns try %s away and takes no more connections", try)
		c.Runner.Refuse()
		c.Extra = rig.NotRunAnswer(try, http.StatusServiceUnavailable)
		_, _ = c.Write(c.Extra)
		return
	}
	if err := c.Runner.Accept(); err != nil {
		c.Runner.Log("can't listen again: %v", err)
	}
	c.Succeed(request, work, 800)
}

func (b *behaviour) isFull(try string) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	full := strings.HasPrefix(try, fullPrefix) && !b.seen[try]
	b.seen[try] = true
	return full
}

func main() { os.Exit(run()) }

func run() int {
	r, err := rig.New(rig.Options{Core: 3, Edges: 2})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer r.Close()
	refused, served, err := play(r, os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.Log("the case can't run: %v", err)
		return failed
	}
	r.Log("of %d requests %d were served, and %d were refused with 503 and run", 2*rounds, served, refused)
	switch {
	case refused > 0:
		return broken
	case served < rounds:
		return failed
	}
	return held
}

// play returns how many requests were refused although a runner ran them, and how many were served.
func play(r *rig.Rig, trouble bool) (refused, served int, err error) {
	b := &behaviour{trouble: trouble, seen: map[string]bool{}}
	var started []*rig.Runner
	for i, zone := range []string{"a", "b", "c"} {
		runner, err := r.StartRunner(fmt.Sprintf("i-%d", i+1), "letters", zone, b.handle)
		if err != nil {
			return 0, 0, err
		}
		started = append(started, runner)
	}
	services := []rig.Service{{Name: "letters", Health: "/health", MaxConns: 100, Protocol: "h1"}}
	routes := []rig.Route{{
		Name: "r-1", Host: "h.example", Path: "/letters/", Type: "writes", Timeout: 4000, Target: 400, Service: "letters", Tries: 2,
		HomeRegions: []string{"south"}, // which has one runner
	}}
	if err := r.StartAll(rig.NewConfiguration(1, services, routes)); err != nil {
		return 0, 0, err
	}
	time.Sleep(12 * time.Second) // the budget of retries has grown to its full size
	for i := range rounds {
		for _, prefix := range []string{"plain", fullPrefix} {
			request := rig.Request{
				Try: fmt.Sprintf("%s-%d", prefix, i), Host: "h.example", Path: "/letters/x", Body: "q", TimeLeft: timeLeft,
			}
			r.Log("client: try %s is sent", request.Try)
			outcome := (&rig.Link{}).Exchange(r.Edges[0].Front(), request)
			time.Sleep(300 * time.Millisecond) // a run that goes on would be seen
			runs := countRuns(started, request.Try)
			r.Log("client: try %s: %v; run %d times", request.Try, outcome, runs)
			switch {
			case outcome.Whole && outcome.Status == http.StatusOK:
				served++
			case outcome.Status == http.StatusServiceUnavailable && runs > 0:
				refused++
			}
		}
		time.Sleep(pause)
	}
	return refused, served, nil
}

// countRuns returns how often a try was run.
func countRuns(runners []*rig.Runner, try string) (count int) {
	for _, runner := range runners {
		count += runner.Runs(try)
	}
	return count
}
