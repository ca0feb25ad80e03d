package proxy

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"cinderroad/internal/shared/httpwire"
)

const (
	defaultIdleTrust     = time.Second // that a connection is trusted for while nothing is known
	minIdleTrust         = 200 * time.Millisecond
	advertisedIdleMargin = 200 * time.Millisecond // before the end that a runner has named
	idleTrustFraction    = 0.8                    // of the rest after which runners were seen to close
	maxIdleSamples       = 8
	minIdleSamples       = 3           // ends seen before they count for more than defaultIdleTrust
	maxIdleTime          = time.Minute // after which an idle connection is closed here
)

// idleTimeoutEstimator holds the rests after which runners of a service closed idle connections, the last few of them. Those that a
// crash cut short are outliers: what counts is a low quartile, not the least.
type idleTimeoutEstimator struct {
	samples []time.Duration
	next    int
}

// observe notes that a runner closed a connection that had rested so long.
func (b *idleTimeoutEstimator) observe(rest time.Duration) {
	if len(b.samples) < maxIdleSamples {
		b.samples = append(b.samples, rest)
		return
	}
	b.samples[b.next] = rest
	b.next = (b.next + 1) % maxIdleSamples
}

// estimate is how long a connection may rest and still be given a request.
func (b *idleTimeoutEstimator) estimate() time.Duration {
	if len(b.samples) == 0 {
		return defaultIdleTrust
	}
	sorted := slices.Clone(b.samples)
	slices.Sort(sorted)
	low := time.Duration(float64(sorted[len(sorted)/4]) * idleTrustFraction)
	if len(sorted) < minIdleSamples {
		low = min(low, defaultIdleTrust)
	}
	return max(low, minIdleTrust)
}

// advertisedIdleTimeout is how long the connection may rest after an answer with this header; 0: it does not say.
func advertisedIdleTimeout(header httpwire.Header) time.Duration {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.Trim(part, " \t"), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.ParseUint(value, 10, 16); err == nil && n > 0 {
			return max(time.Duration(n)*time.Second-advertisedIdleMargin, minIdleTrust)
		}
	}
	return 0
}
