package httpfront

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// backoff is a delay drawn evenly from a span that doubles with each failure, from initial to max seconds. The whole span
// is random, since clients that fail together would otherwise retry together.
type backoff struct{ initial, max float64 }

// lossBackoff is for a watch that broke or was never connected.
var lossBackoff = backoff{1, 2}

// Parameters of rejectionBackoff.
const (
	minRejectionPause         = 2.0  // seconds of the first span, at least
	rejectionPausePerInstance = 0.08 // seconds of it for each dispatcher
	rejectionPauseGrowth      = 8.0  // the longest span is this many times the first
)

// rejectionBackoff is for a discovery that is overloaded. It serves few requests a second, and one that waits in vain
// takes the capacity of another: so the spans grow with the number of dispatchers.
func rejectionBackoff(instances int) backoff {
	initial := max(minRejectionPause, rejectionPausePerInstance*float64(instances))
	return backoff{initial, rejectionPauseGrowth * initial}
}

// maxRetryAfter bounds the Retry-After that is respected, in seconds.
const maxRetryAfter = 60

// maxCountedFailures bounds the doublings of a span, which has long reached its maximum by then.
const maxCountedFailures = 16

// rejectedError is the answer of an overloaded discovery.
type rejectedError struct {
	status     string
	retryAfter float64 // seconds; 0: none
}

// Error names the status of the response.
func (e *rejectedError) Error() string { return "platform: discovery answered " + e.status }

// responseError returns the error of an answer that is no list: a *rejectedError if discovery is overloaded.
func responseError(status string, header Header) error {
	if !strings.HasPrefix(status, "503") && !strings.HasPrefix(status, "429") {
		return fmt.Errorf("platform: discovery answered %q", status)
	}
	retryAfter, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	if err != nil || !(retryAfter > 0) {
		retryAfter = 0
	}
	return &rejectedError{status, min(retryAfter, maxRetryAfter)}
}

// retryDelay counts a failure and returns how long to wait after it, in seconds.
func (c *DiscoveryClient) retryDelay(err error) float64 {
	backoff := lossBackoff
	retryAfter := 0.0
	var rejected *rejectedError
	if errors.As(err, &rejected) {
		backoff = rejectionBackoff(c.Instances)
		retryAfter = rejected.retryAfter
		c.Rejections++
	}
	span := min(math.Ldexp(backoff.initial, c.failures), backoff.max)
	if c.failures < maxCountedFailures {
		c.failures++
	}
	return retryAfter + span*c.rng.Float64()
}
