// Command slowlink restarts proxies by SIGTERM, and tells whether the clients that still reach one of them get their whole
// answers over the machine's link.
package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"cinderroad/review/rig"
)

const (
	edges    = 4
	linkMbps = 10.0 // of a machine
	lineMbps = 2.0  // of a client
	timeLeft = 10 * time.Second
	work     = 20 * time.Millisecond // of a runner on a request
	// sendAfter is the time from a machine's signal to the request of a client, which holds its look-up for some seconds. The proxy
	// accepts requests then.
	sendAfter = 2 * time.Second
	grace     = 8 * time.Second
)

// Results of the case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// answerBytes is the size of the answer over a machine.
func answerBytes(edge int) int { return 5<<16 + (46+3*edge)<<10 }

func main() { os.Exit(run()) }

func run() int {
	r, err := rig.New(rig.Options{Core: 3, Edges: edges, LinkMbps: linkMbps})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer r.Close()
	outcomes, err := play(r, os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.Log("the case can't run: %v", err)
		return failed
	}
	lost := 0
	for _, outcome := range outcomes {
		if outcome.Status == 0 {
			r.Log("a request was not answered at all, and may not have been read")
			return failed
		}
		if !outcome.Whole {
			lost++
		}
	}
	r.Log("answers that are not whole: %d of %d", lost, len(outcomes))
	if lost > 0 {
		return broken
	}
	return held
}

// play starts the deployment and returns what the clients got.
func play(r *rig.Rig, trouble bool) ([]rig.Outcome, error) {
	handle := func(c *rig.RunnerConn, request *http.Request, body []byte) {
		size, _ := strconv.Atoi(string(body))
		c.Succeed(request, work, size)
	}
	for i, zone := range []string{"a", "b", "c"} {
		if _, err := r.StartRunner(fmt.Sprintf("i-%d", i+1), "web", zone, handle); err != nil {
			return nil, err
		}
	}
	services := []rig.Service{{Name: "web", Health: "/health", MaxConns: 100, Protocol: "h1"}}
	routes := []rig.Route{{
		Name: "r-1", Host: "h.example", Path: "/web/", Type: "writes", Timeout: 10000, Target: 2000, Service: "web", Tries: 1,
		HomeRegions: []string{},
	}}
	if err := r.StartAll(rig.NewConfiguration(1, services, routes)); err != nil {
		return nil, err
	}
	time.Sleep(5 * time.Second) // all machines are in touch
	outcomes := make([]rig.Outcome, edges)
	var machines sync.WaitGroup
	for i, edge := range r.Edges {
		machines.Go(func() {
			time.Sleep(time.Duration(i) * time.Second) // one after the other
			outcomes[i] = restart(r, edge, i, trouble)
		})
	}
	machines.Wait()
	return outcomes, nil
}

// restart stops a machine, and has a client ask it meanwhile.
func restart(r *rig.Rig, edge *rig.Machine, i int, trouble bool) rig.Outcome {
	if trouble {
		for _, role := range []string{"proxy", "agent"} {
			if err := edge.Signal(role, syscall.SIGTERM); err != nil {
				return rig.Outcome{Err: err}
			}
		}
	}
	time.Sleep(sendAfter)
	link := &rig.Link{BytesPerSecond: lineMbps * 1e6 / 8}
	request := rig.Request{
		Try: fmt.Sprintf("t%04d", i), Host: "h.example", Path: "/web/x", Body: strconv.Itoa(answerBytes(i)), TimeLeft: timeLeft,
	}
	r.Log("client: try %s is sent to %s", request.Try, edge.Name)
	outcome := link.Exchange(edge.Front(), request)
	r.Log("client: try %s: %v", request.Try, outcome)
	if trouble {
		edge.Wait("proxy")
	}
	return outcome
}
