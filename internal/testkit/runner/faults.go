package runner

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"

	"cinderroad/internal/testkit/answer"
)

// Faults are the shares of requests (0 to 1) on which a runner injects each fault.
type Faults struct {
	Truncate    float64 // the answer ends in the middle
	ExtraBytes  float64 // an unsolicited answer follows the complete one
	StaleAnswer float64 // an unsolicited answer with the same attempt ID precedes the connection's next one
	Garbage     float64 // bytes that aren't HTTP instead of the answer
	NoAnswer    float64
	Reset       float64 // the connection is reset after the execution
	Close       float64 // the connection is reset without an execution
	MaxFaults   int     // upper bound for the faulty requests; 0: none
}

// faultKind is a kind of fault; the order is that of the fields of Faults.
type faultKind uint8

const (
	faultNone faultKind = iota
	faultTruncate
	faultExtraBytes
	faultStaleAnswer
	faultGarbage
	faultNoAnswer
	faultReset
	faultClose
)

// draw draws the fault of a request.
func (f *Faults) draw(random *rand.Rand) faultKind {
	shares := []float64{ // in the order of the kinds
		f.Truncate,
		f.ExtraBytes,
		f.StaleAnswer,
		f.Garbage,
		f.NoAnswer,
		f.Reset,
		f.Close,
	}
	left := random.Float64()
	for i, share := range shares {
		left -= share
		if left < 0 {
			return faultKind(i + 1)
		}
	}
	return faultNone
}

// drawFault draws the fault of a request within MaxFaults.
func (r *Runner) drawFault() faultKind {
	if r.faults.MaxFaults > 0 && r.faultCount >= r.faults.MaxFaults {
		return faultNone
	}
	drawn := r.faults.draw(r.random)
	if drawn != faultNone {
		r.faultCount++
	}
	return drawn
}

// sendStale sends the unsolicited answer that a fault left for the connection's next request.
func (r *Runner) sendStale(c *conn) {
	if c.beforeNext != nil {
		c.Conn.Write(c.beforeNext)
		c.beforeNext = nil
	}
}

// connState sends the unsolicited answer that a fault left, once the connection is idle after the complete one.
func (r *Runner) connState(c net.Conn, state http.ConnState) {
	if state != http.StateIdle {
		return
	}
	if c, ok := c.(*conn); ok && c.afterAnswer != nil {
		c.Conn.Write(c.afterAnswer)
		c.afterAnswer = nil
	}
}

// unsolicitedAnswer returns an answer that no request asked for.
func unsolicitedAnswer(attemptID string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: b.0.00000000.%s.spare\r\nContent-Length: 0\r\n\r\n",
		answer.HeaderAttemptID, attemptID, answer.HeaderSeal, attemptID)
}

// injectFault injects the request's fault instead of the next part of its answer, and reports whether that ended the
// answer.
func (r *Runner) injectFault(execution *execution, request *http.Request) bool {
	switch execution.fault {
	case faultGarbage:
		execution.conn.Conn.Write([]byte("\x00\x01 not an answer\r\n\r\n"))
		reset(execution.conn.Conn)
	case faultNoAnswer:
		r.awaitEnd(request)
	case faultReset:
		reset(execution.conn.Conn)
	case faultTruncate:
		if execution.request.OutputTokens > 0 && execution.eventsSent < 1 {
			return false // only after the first event
		}
		if execution.request.OutputTokens == 0 {
			r.sendHalf(execution)
		}
		r.countFault()
		panic(http.ErrAbortHandler)
	default:
		return false
	}
	r.countFault()
	return true
}

func (r *Runner) countFault() { r.updateStats(func(s *Stats) { s.FaultsInjected++ }) }
