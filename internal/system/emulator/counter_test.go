package emulator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os/exec"
	"strings"
	"sync"
	"testing"
	"time"

	"cinderroad/internal/testkit/checker"
)

// fakeCounters serves counters; the fields alter what it does.
type fakeCounters struct {
	mu        sync.Mutex
	seen      map[string]bool
	total     int64
	status    int   // of additions; 0: 200
	countsAll bool  // repeated additions count again
	hides     int64 // of the total
}

func (c *fakeCounters) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if strings.HasPrefix(q.URL.Path, totalPath) {
		fmt.Fprintf(w, `{"total":%d}`, c.total-c.hides)
		return
	}
	var body struct {
		ID     string `json:"id"`
		Amount int64  `json:"changed_by"`
	}
	json.NewDecoder(q.Body).Decode(&body)
	if !c.seen[body.ID] || c.countsAll {
		c.total += body.Amount
	}
	c.seen[body.ID] = true
	if c.status != 0 {
		w.WriteHeader(c.status)
	}
}

// newCounterTest returns a workload against a fake.
func newCounterTest(t *testing.T, fake *fakeCounters) (*emulation, *counterWorkload) {
	t.Helper()
	fake.seen = make(map[string]bool)
	e := newStormEmulation(t, fake)
	for _, m := range e.deployment.machinesOfClass(coreClass) {
		e.processes = append(e.processes, &process{machine: m, program: control, command: &exec.Cmd{}, starts: 1})
	}
	w := newCounterWorkload(e)
	t.Cleanup(w.client.CloseIdleConnections)
	return e, w
}

func TestCounterChecks(t *testing.T) {
	for _, test := range []struct {
		name string
		fake *fakeCounters
		want []checker.Rule // of a total that is read after each machine was sent an addition of 5
	}{
		{"acknowledged and counted", &fakeCounters{}, nil},
		{"counted twice", &fakeCounters{countsAll: true}, []checker.Rule{checker.DuplicateExecution}},
		{"acknowledged and not counted", &fakeCounters{hides: 5}, []checker.Rule{checker.LostRequest}},
		{"counted though it was refused", &fakeCounters{status: http.StatusServiceUnavailable}, []checker.Rule{checker.DuplicateExecution}},
		{"counted without a clear response", &fakeCounters{status: http.StatusGatewayTimeout}, nil},
	} {
		e, w := newCounterTest(t, test.fake)
		a := w.ledger.open("t0", "a", 5)
		for _, m := range w.machines {
			w.send(t.Context(), m, a)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		w.checkFinal(ctx, w.machines[0], "t0")
		cancel()
		var rules []checker.Rule
		for _, violation := range e.checker.Violations() {
			rules = append(rules, violation.Rule)
		}
		if fmt.Sprint(rules) != fmt.Sprint(test.want) {
			t.Errorf("%s: %v, want %v", test.name, e.checker.Violations(), test.want)
		}
	}
}

// TestAdditionsThatWentWithADisk: what only the machine acknowledged that lost its disk is owed if it could reach another one.
func TestAdditionsThatWentWithADisk(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, test := range []struct {
		name    string
		ackedAt time.Time
		by      []int // machines that acknowledged
		down    []int // machines around now
		owed    bool
	}{
		{"alone, both others were down", now, []int{0}, []int{1, 2}, false},
		{"alone, another one was there", now, []int{0}, []int{2}, true},
		{"alone, the others were there", now, []int{0}, nil, true},
		{"alone, the others went down later", now.Add(-time.Second), []int{0}, []int{1, 2}, true},
		{"by another one, too", now, []int{0, 1}, []int{1, 2}, true},
		{"after the loss", now.Add(time.Minute), []int{0}, []int{1, 2}, true},
	} {
		e, w := newCounterTest(t, &fakeCounters{})
		a := w.ledger.open("t0", "a", 5)
		for _, i := range test.by {
			w.ledger.sending(a)
			w.ledger.acknowledged(a, additionAck{machine: w.machines[i].name, life: 1, at: test.ackedAt})
		}
		for _, i := range test.down {
			e.machines.UnplannedTrouble(w.machines[i].name, now, now)
		}
		w.diskLost(w.machines[0], now.Add(time.Second))
		if got := w.isOwed(a, now.Add(time.Hour)); got != test.owed {
			t.Errorf("%s: owed %v", test.name, got)
		}
	}
}

// TestStaleReads: a read that lacks what the same life of a machine acknowledged is stale; another life may lack it for a while.
func TestStaleReads(t *testing.T) {
	for lives, stale := range map[int]bool{1: true, 2: false} {
		e, w := newCounterTest(t, &fakeCounters{hides: counterCount})
		for i := range counterCount {
			w.send(t.Context(), w.machines[0], w.ledger.open(fmt.Sprintf("t%d", i), fmt.Sprint(i), 1))
		}
		w.machines = w.machines[:1]
		e.processOf(w.machines[0], control).starts = lives
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		w.readUntilDone(ctx, w.random(0))
		cancel()
		if found := e.checker.Violations(); (len(found) > 0) != stale || stale && found[0].Rule != checker.StaleRead {
			t.Errorf("life %d: %v", lives, found)
		}
	}
}
