package proxy

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"cinderroad/internal/shared/httpwire"
)

const (
	untoldRest  = time.Second // that a connection is trusted for while nothing is known
	leastRest   = 200 * time.Millisecond
	restMargin  = 200 * time.Millisecond // before the end that a runner has named
	restShare   = 0.8                    // of the rest after which runners were seen to close
	restsKept   = 8
	restsWanted = 3           // ends seen before they count for more than untoldRest
	mostRest    = time.Minute // after which an idle connection is closed here
)

// restBook holds the rests after which runners of a service closed idle connections, the last few of them. Those that a
// crash cut short are outliers: what counts is a low quartile, not the least.
type restBook struct {
	seen []time.Duration
	at   int
}

// ended notes that a runner closed a connection that had rested so long.
func (b *restBook) ended(rest time.Duration) {
	if len(b.seen) < restsKept {
		b.seen = append(b.seen, rest)
		return
	}
	b.seen[b.at] = rest
	b.at = (b.at + 1) % restsKept
}

// limit is how long a connection may rest and still be given a request.
func (b *restBook) limit() time.Duration {
	if len(b.seen) == 0 {
		return untoldRest
	}
	sorted := slices.Clone(b.seen)
	slices.Sort(sorted)
	low := time.Duration(float64(sorted[len(sorted)/4]) * restShare)
	if len(sorted) < restsWanted {
		low = min(low, untoldRest)
	}
	return max(low, leastRest)
}

// toldRest is how long the connection may rest after an answer with this header; 0: it does not say.
func toldRest(h httpwire.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.Trim(part, " \t"), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.ParseUint(value, 10, 16); err == nil && n > 0 {
			return max(time.Duration(n)*time.Second-restMargin, leastRest)
		}
	}
	return 0
}
