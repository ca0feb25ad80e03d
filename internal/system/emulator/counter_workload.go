package emulator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"cinderroad/internal/system/retry"
	"cinderroad/internal/testkit/checker"
)

// Paths of the calls of replicated counters, and how they are used.
const (
	addPath            = "/-/Tallies.Change/"
	totalPath          = "/-/Tallies.Read/"
	counterCount       = 3
	counterAdders      = 6
	counterReaders     = 3
	counterInterval    = 60 * time.Millisecond  // between two additions of an adder, or two reads
	counterBackoff     = 100 * time.Millisecond // before an addition is sent again
	largestAddition    = 9
	repeatOneIn        = 4 // one in so many acknowledged additions is sent again, to another machine
	counterRandom      = 29
	responseDelay      = time.Second     // by which a response may be seen late
	mergeWithinMS      = 3000            // settings of the deployment
	counterCallTimeout = 3 * time.Second // beyond that of the service, so that no call outlasts its client
)

// counterWorkload adds to replicated counters and reads them at all control machines.
type counterWorkload struct {
	emulation *emulation
	machines  []*machine
	client    http.Client
	ledger    counterLedger
	diskLoss  diskLoss
}

// diskLoss is the loss of a control machine's disk; its time is zero if there was none.
type diskLoss struct {
	mu      sync.Mutex
	machine string
	at      time.Time
}

func newCounterWorkload(e *emulation) *counterWorkload {
	return &counterWorkload{
		emulation: e,
		machines:  e.deployment.machinesOfClass(coreClass),
		client:    http.Client{Timeout: counterCallTimeout, Transport: &http.Transport{}},
	}
}

// run implements workload.
func (w *counterWorkload) run(ctx context.Context) {
	var group sync.WaitGroup
	defer w.client.CloseIdleConnections()
	defer group.Wait()
	for i := range counterAdders {
		group.Go(func() { w.addUntilDone(ctx, w.random(i), i) })
	}
	for i := range counterReaders {
		group.Go(func() { w.readUntilDone(ctx, w.random(counterAdders+i)) })
	}
}

func (w *counterWorkload) random(i int) *rand.Rand {
	return rand.New(rand.NewPCG(w.emulation.options.Seed+uint64(i)<<32, counterRandom))
}

// call makes a call to a control machine. It returns the machine's life, or 0 if it changed during the call.
func (w *counterWorkload) call(ctx context.Context, m *machine, method, path string, body any) (text []byte, status, life int, err error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, 0, 0, err
	}
	if body == nil {
		encoded = nil
	}
	process := w.emulation.processOf(m, control)
	life = process.startCount()
	o := &operator{addresses: []string{m.addressWithPort(w.emulation.deployment.ports.control).String()}, client: w.client}
	text, status, err = o.sendOnce(ctx, method, path, 0, encoded)
	if process.startCount() != life {
		life = 0
	}
	return text, status, life, err
}

// anyMachine draws a control machine.
func (w *counterWorkload) anyMachine(random *rand.Rand) *machine {
	return w.machines[random.IntN(len(w.machines))]
}

func anyCounter(random *rand.Rand) string { return fmt.Sprintf("t%d", random.IntN(counterCount)) }

// addUntilDone makes additions until the context ends.
func (w *counterWorkload) addUntilDone(ctx context.Context, random *rand.Rand, adder int) {
	for n := 0; retry.Sleep(ctx, counterInterval); n++ {
		a := w.ledger.open(anyCounter(random), fmt.Sprintf("%d-%d", adder, n), 1+random.Int64N(largestAddition))
		for !w.send(ctx, w.anyMachine(random), a) && retry.Sleep(ctx, counterBackoff) {
			continue // until it is acknowledged
		}
		if random.IntN(repeatOneIn) == 0 {
			w.send(ctx, w.anyMachine(random), a)
		}
	}
}

// send sends an addition to a machine and reports whether it was acknowledged.
func (w *counterWorkload) send(ctx context.Context, m *machine, a *addition) bool {
	w.ledger.sending(a)
	body := map[string]any{"id": a.id, "changed_by": a.amount}
	text, status, life, err := w.call(ctx, m, http.MethodPost, addPath+a.counter, body)
	switch {
	case err == nil && status == http.StatusOK:
		w.ledger.acknowledged(a, additionAck{machine: m.name, life: life, at: time.Now()})
		return true
	case err == nil && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests),
		errors.Is(err, syscall.ECONNREFUSED):
		w.ledger.rejected(a)
		return false
	}
	w.ledger.unanswered(a)
	if err == nil && status < http.StatusInternalServerError {
		w.emulation.checker.Report(checker.ValidRequestDenied, "%s answered a proper addition with %d: %s", m.name, status, text)
	}
	return false
}

// readUntilDone reads counters until the context ends, and checks what it reads.
func (w *counterWorkload) readUntilDone(ctx context.Context, random *rand.Rand) {
	for retry.Sleep(ctx, counterInterval) {
		m, counter := w.anyMachine(random), anyCounter(random)
		sentAt := time.Now()
		process := w.emulation.processOf(m, control)
		life := process.startCount()
		own := w.ledger.sum(counter, func(a *addition) bool { return a.ackedBy(m.name, life) })
		settled := w.ledger.sum(counter, func(a *addition) bool { return w.isOwed(a, sentAt.Add(-w.settleTime())) })
		total, lifeOfAnswer, ok := w.read(ctx, m, counter)
		if !ok {
			continue
		}
		w.checkUpperBound(m, counter, total)
		if total < own && lifeOfAnswer == life {
			w.emulation.checker.Report(checker.StaleRead, "%s read %d of counter %s, and had acknowledged %d in the same life",
				m.name, total, counter, own)
		}
		if total < settled {
			w.emulation.checker.ReportLate(checker.Core, checker.StaleRead, "%s read %d of counter %s, %d had long been acknowledged",
				m.name, total, counter, settled)
		}
	}
}

// settleTime is the age from which on what any machine acknowledged must be read at all, in calm times. It is longer than the
// deployment's own bound, and as long as the time without trouble that rules with a bound in time require.
func (w *counterWorkload) settleTime() time.Duration {
	return milliseconds(defaultTiming.InTouchMS) + time.Second
}

// checkUpperBound checks that a total does not exceed all that may have counted.
func (w *counterWorkload) checkUpperBound(m *machine, counter string, total int64) {
	if most := w.ledger.sum(counter, (*addition).mayHaveCounted); total > most {
		w.emulation.checker.Report(checker.DuplicateExecution, "%s read %d of counter %s, at most %d may have counted",
			m.name, total, counter, most)
	}
}

// read reads a counter at a machine, and returns the machine's life, or 0 if that changed meanwhile.
func (w *counterWorkload) read(ctx context.Context, m *machine, counter string) (total int64, life int, ok bool) {
	text, status, life, err := w.call(ctx, m, http.MethodGet, totalPath+counter, nil)
	if err != nil || status != http.StatusOK {
		return 0, 0, false
	}
	var answer struct {
		Total int64 `json:"total"`
	}
	if err := json.Unmarshal(text, &answer); err != nil {
		w.emulation.checker.Report(checker.StaleRead, "%s answered a read with %q", m.name, text)
		return 0, 0, false
	}
	return answer.Total, life, true
}

// diskLost records that a control machine was killed and loses its disk. Acknowledgements may still be on their way.
func (w *counterWorkload) diskLost(m *machine, at time.Time) {
	w.diskLoss.mu.Lock()
	defer w.diskLoss.mu.Unlock()
	w.diskLoss.machine = m.name
	w.diskLoss.at = at.Add(responseDelay)
}

// isOwed reports whether an addition that was acknowledged before a time must be part of all totals.
func (w *counterWorkload) isOwed(a *addition, before time.Time) bool {
	return a.ackedBefore(before) && !w.wentWithDisk(a)
}

// wentWithDisk reports whether an addition may be lost because only a machine acknowledged it that lost its disk, when it could
// reach none of the others.
func (w *counterWorkload) wentWithDisk(a *addition) bool {
	w.diskLoss.mu.Lock()
	defer w.diskLoss.mu.Unlock()
	if w.diskLoss.at.IsZero() {
		return false
	}
	for _, ack := range a.acks {
		if ack.machine != w.diskLoss.machine || ack.at.After(w.diskLoss.at) || w.reachedAnother(ack) {
			return false
		}
	}
	return true
}

// reachedAnother reports whether some other control machine had no trouble around an acknowledgement.
func (w *counterWorkload) reachedAnother(ack additionAck) bool {
	from := ack.at.Add(-time.Duration(defaultTiming.CatchUpS) * time.Second)
	for _, m := range w.machines {
		if m.name != ack.machine && w.emulation.machines.LeftAlone(m.name, from, ack.at) {
			return true
		}
	}
	return false
}

// finish implements workload: every machine reads all that was acknowledged, and nothing else.
func (w *counterWorkload) finish(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	defer w.client.CloseIdleConnections()
	for _, m := range w.machines {
		for i := range counterCount {
			w.checkFinal(ctx, m, fmt.Sprintf("t%d", i))
		}
	}
	w.emulation.logEvent("counters", "additions", w.ledger.String(), "not_owed", w.notOwed())
}

// notOwed returns how much was acknowledged that may have gone with a disk, over all counters.
func (w *counterWorkload) notOwed() (total int64) {
	for i := range counterCount {
		total += w.ledger.sum(fmt.Sprintf("t%d", i), func(a *addition) bool { return len(a.acks) > 0 && w.wentWithDisk(a) })
	}
	return total
}

// checkFinal waits until a machine reads all of a counter that was acknowledged.
func (w *counterWorkload) checkFinal(ctx context.Context, m *machine, counter string) {
	owed := w.ledger.sum(counter, func(a *addition) bool { return w.isOwed(a, time.Now()) })
	var total int64
	answered := false
	err := poll(ctx, func() bool {
		var ok bool
		total, _, ok = w.read(ctx, m, counter)
		answered = answered || ok
		return ok && total >= owed
	})
	if err != nil {
		w.emulation.checker.Report(checker.LostRequest, "%s reads %d of counter %s at the end (answered: %v), %d was acknowledged",
			m.name, total, counter, answered, owed)
		return
	}
	w.checkUpperBound(m, counter, total)
}
