package emulator

import (
	"fmt"
	"sync"
	"time"
)

// counterLedger holds the additions to replicated counters and what became of them. Its methods may be called from any
// goroutine.
type counterLedger struct {
	mu        sync.Mutex
	additions []*addition
}

// addition is an addition that is sent under one ID until a machine acknowledges it.
type addition struct {
	counter, id string
	amount      int64
	inFlight    int  // calls without a response so far
	unclear     bool // some call may have added it
	acks        []additionAck
}

// additionAck is an acknowledgement of an addition.
type additionAck struct {
	machine string
	life    int // of the machine's process; 0: it is not known which one acknowledged
	at      time.Time
}

// mayHaveCounted reports whether the addition may be part of a total.
func (a *addition) mayHaveCounted() bool { return a.inFlight > 0 || a.unclear || len(a.acks) > 0 }

// ackedBy reports whether a life of a machine has acknowledged the addition.
func (a *addition) ackedBy(machine string, life int) bool {
	for _, ack := range a.acks {
		if ack.machine == machine && ack.life == life {
			return true
		}
	}
	return false
}

// ackedBefore reports whether any machine had acknowledged the addition before a time.
func (a *addition) ackedBefore(at time.Time) bool {
	for _, ack := range a.acks {
		if ack.at.Before(at) {
			return true
		}
	}
	return false
}

// open adds an addition that is going to be sent.
func (l *counterLedger) open(counter, id string, amount int64) *addition {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := &addition{counter: counter, id: id, amount: amount}
	l.additions = append(l.additions, a)
	return a
}

// sending records a call; call it before the call is sent.
func (l *counterLedger) sending(a *addition) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a.inFlight++
}

// rejected records a response that promises that the call did nothing.
func (l *counterLedger) rejected(a *addition) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a.inFlight--
}

// unanswered records a call whose outcome is not known.
func (l *counterLedger) unanswered(a *addition) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a.inFlight--
	a.unclear = true
}

// acknowledged records an acknowledgement.
func (l *counterLedger) acknowledged(a *addition, ack additionAck) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a.inFlight--
	a.acks = append(a.acks, ack)
}

// sum returns the sum of the additions to a counter that a condition holds for.
func (l *counterLedger) sum(counter string, holds func(*addition) bool) (total int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.additions {
		if a.counter == counter && holds(a) {
			total += a.amount
		}
	}
	return total
}

// String formats the numbers of additions on one line.
func (l *counterLedger) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	acknowledged, unclear := 0, 0
	for _, a := range l.additions {
		switch {
		case len(a.acks) > 0:
			acknowledged++
		case a.mayHaveCounted():
			unclear++
		}
	}
	return fmt.Sprintf("sent=%d acknowledged=%d unclear=%d", len(l.additions), acknowledged, unclear)
}
