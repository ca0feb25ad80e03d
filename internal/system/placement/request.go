package placement

import (
	"net/netip"
	"time"

	"cinderroad/internal/system/configuration"
)

// Chunk is a part of a prompt, which an engine caches as one unit. Chunks are in order from the start of the prompt.
type Chunk struct {
	ID     uint64 // equal for equal parts; chosen by the client
	Tokens int
}

// Request is what a client wants, and what has been tried for it.
type Request struct {
	Route           *configuration.Route
	Service         string // drawn by the caller from the route's shares
	Model           string
	Chunks          []Chunk
	InputTokens     int           // of the whole prompt, which may exceed the chunks; 0: not known
	MaxOutputTokens int           // 0: the request names no maximum
	BodyBytes       int           // 0: not known
	ArrivedAt       time.Duration // on the caller's clock, as is Deadline
	Deadline        time.Duration // the earlier of the client's and the route's
	TriedRunners    []string      // ids of the runners that are chosen only if no other may take the request
	MayHaveRun      bool          // an attempt reached a runner that did not prove that it had not run

	unreached int // of TriedRunners: those to which no connection came up, and those passed over
}

// What counts as an attempt, for the route's maximum of attempts and for the retry budget: one for which a connection to
// its runner came up, since the request may have arrived there. The caller records that, and only the functions below
// count.

// RecordAttempt records that the runner had an attempt. Without a connection the attempt does not count.
func (r *Request) RecordAttempt(runner string, connected bool) {
	r.TriedRunners = append(r.TriedRunners, runner)
	if !connected {
		r.unreached++
	}
}

// PassOver records that the runner is not to be chosen again if another may take the request, although it had no attempt.
func (r *Request) PassOver(runner string) { r.RecordAttempt(runner, false) }

// Attempts returns the number of attempts that count.
func (r *Request) Attempts() int { return len(r.TriedRunners) - r.unreached }

// Unreached returns the number of runners to which no connection came up, or that were passed over.
func (r *Request) Unreached() int { return r.unreached }

// isRetry reports whether the next attempt of the request is a retry, which the retry budget bounds.
func (r *Request) isRetry() bool { return r.Attempts() > 0 }

// MayRepeat reports whether another attempt of the request is allowed by the route's maximum of attempts, by whether the
// request may have run and is idempotent, and by its deadline. The retry budget is the Placer's to check, see
// Placer.MayRetry.
func (r *Request) MayRepeat(now time.Duration) bool {
	if r.Route == nil || now >= r.Deadline {
		return false
	}
	if r.MayHaveRun && !r.Route.IsIdempotent() {
		return false
	}
	return r.Attempts() < max(r.Route.MaxAttempts, 1)
}

// Choice is the runner that a request goes to. It reserves nothing before StartAttempt.
type Choice struct {
	Runner   string
	Address  netip.AddrPort
	Priority int // 0 to 9, 0 first; -1: the runner knows no priorities
}

// Rejection says that no runner should take the request now. Nothing of it has run unless Request.MayHaveRun.
type Rejection struct {
	RetryAfter time.Duration
	Reason     string // for the log: one of the constants in selection.go, or the caller's own
}

// hasTried reports whether an attempt of the request went to the runner.
func (r *Request) hasTried(runner *runnerState) bool {
	for _, id := range r.TriedRunners {
		if id == runner.ID {
			return true
		}
	}
	return false
}
