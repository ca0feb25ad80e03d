package runner

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"

	"cinderroad/internal/testkit/answer"
)

// Faults are the shares of requests that a runner spoils, each in its own way.
type Faults struct {
	Truncate    float64 // the answer ends in the middle
	ExtraBytes  float64 // bytes come after the whole answer, that nobody asked for
	StaleAnswer float64 // another answer with the same id comes in place of the next one on that connection
	Garbage     float64 // bytes that are not an answer
	NoAnswer    float64 // no answer comes
	Reset       float64 // the connection is reset before an answer, and after the work
	Close       float64 // the connection is closed before an answer, and without work
	MaxFaults   int     // requests that are spoilt at most; 0: any number
}

// faultKind is a way to spoil a request.
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

// draw draws what happens to a request.
func (f *Faults) draw(random *rand.Rand) faultKind {
	left := random.Float64()
	for i, share := range []float64{f.Truncate, f.ExtraBytes, f.StaleAnswer, f.Garbage, f.NoAnswer, f.Reset, f.Close} {
		if left -= share; left < 0 {
			return faultKind(i + 1)
		}
	}
	return faultNone
}

// drawFault draws what happens to a request, as the script says.
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

// sendStale sends an extra answer that was held back for the next request of a connection.
func (r *Runner) sendStale(c *conn) {
	if c.beforeNext != nil {
		c.Conn.Write(c.beforeNext)
		c.beforeNext = nil
	}
}

// connState sends extra bytes when a connection has sent a whole answer.
func (r *Runner) connState(c net.Conn, state http.ConnState) {
	if state != http.StateIdle {
		return
	}
	if c, is := c.(*conn); is && c.afterAnswer != nil {
		c.Conn.Write(c.afterAnswer)
		c.afterAnswer = nil
	}
}

// unsolicitedAnswer is an answer that nobody asked for.
func unsolicitedAnswer(attemptID string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: b.0.00000000.%s.spare\r\nContent-Length: 0\r\n\r\n",
		answer.HeaderAttemptID, attemptID, answer.HeaderSeal, attemptID)
}

// injectFault plays a fault in place of an answer, or of the next piece of one; it says whether that was the end.
func (r *Runner) injectFault(execution *execution, request *http.Request) bool {
	switch execution.fault {
	case faultGarbage:
		execution.conn.Conn.Write([]byte("\x00\x01 not an answer\r\n\r\n"))
		reset(execution.conn.Conn)
	case faultNoAnswer:
		<-request.Context().Done()
	case faultReset:
		reset(execution.conn.Conn)
	case faultTruncate:
		if execution.request.OutputTokens > 0 && execution.eventsSent < 1 {
			return false // not before the first event
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
