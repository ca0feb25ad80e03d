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
	TriedRunners    []string      // ids of the runners that had an attempt, or could not be connected to
	MayHaveRun      bool          // an attempt reached a runner that did not prove that it had not run

	connectFailures int // attempts without a connection: they cost no retry budget
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

// isRetry reports whether the next attempt of the request is a retry, which the budget bounds: an attempt before it got a
// connection to its runner, so that the request may have arrived.
func (r *Request) isRetry() bool { return len(r.TriedRunners) > r.connectFailures }
