package placement

import "time"

// The retry budget of a service bounds what arrives beyond the first of each request within any window, over all proxies.
// Each proxy earns a share of its own first sends, which is safe whatever the others do, and has an even part of the
// retries beyond the ratio, which grows to its full size within a window after a start: its last life may have spent it.

const retryBuckets = 16

// retryBudget counts first sends and repeats in spans of a sixteenth of the window.
type retryBudget struct {
	bucket   int64
	requests [retryBuckets + 1]uint32
	retries  [retryBuckets + 1]uint32
}

// retryPolicy are what a service's budget is worked out by.
type retryPolicy struct {
	window    time.Duration
	ratio     float64
	allowance float64
	since     time.Duration
}

func (p *Placer) retryPolicy() retryPolicy {
	rules := retryPolicy{window: p.options.RetryWindow, ratio: retryRatioShare * p.options.RetryRatio, since: p.startedAt}
	if p.proxyCount > 0 {
		rules.allowance = retryAllowanceShare * p.options.RetryAllowance / float64(p.proxyCount+1)
	}
	return rules
}

// advance forgets the spans that have left the window.
func (b *retryBudget) advance(now time.Duration, window time.Duration) {
	span := int64(now / (window / retryBuckets))
	if span-b.bucket > retryBuckets {
		b.requests, b.retries = [retryBuckets + 1]uint32{}, [retryBuckets + 1]uint32{}
		b.bucket = span
	}
	for b.bucket < span {
		b.bucket++
		b.requests[b.bucket%(retryBuckets+1)], b.retries[b.bucket%(retryBuckets+1)] = 0, 0
	}
}

// allows says whether one more repeat may be sent. Repeats are counted for a little longer than a window, and first sends
// for a little less.
func (b *retryBudget) allows(now time.Duration, rules retryPolicy) bool {
	b.advance(now, rules.window)
	firsts, repeats := uint32(0), uint32(0)
	oldest := (b.bucket + 1) % (retryBuckets + 1)
	for i := range b.requests {
		repeats += b.retries[i]
		if int64(i) != oldest {
			firsts += b.requests[i]
		}
	}
	grown := min(float64(now-rules.since)/float64(rules.window), 1)
	return float64(repeats)+1 <= rules.ratio*float64(firsts)+rules.allowance*grown
}

// record books a send.
func (b *retryBudget) record(now time.Duration, window time.Duration, repeat bool) {
	b.advance(now, window)
	if repeat {
		b.retries[b.bucket%(retryBuckets+1)]++
	} else {
		b.requests[b.bucket%(retryBuckets+1)]++
	}
}

// MayRetry says whether another attempt of a request may be made: by its tries, by whether it may have run, by its time
// and by the budget that all proxies share.
func (p *Placer) MayRetry(now time.Duration, request *Request) bool {
	service := p.services[request.Service]
	if service == nil || request.Route == nil || now >= request.Deadline || len(request.TriedRunners) >= max(request.Route.MaxAttempts, 1) {
		return false
	}
	if request.MayHaveRun && !request.Route.IsIdempotent() {
		return false
	}
	return !request.isRetry() || service.retryBudget.allows(now, p.retryPolicy())
}
