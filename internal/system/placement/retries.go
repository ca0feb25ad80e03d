package placement

import "time"

// This file decides whether a request may be sent again. The retry budget of a service bounds, over all proxies, what
// arrives beyond the first attempt of each request within any window. Each proxy earns a share of its own first attempts,
// which is safe whatever the others do, and has an even part of the allowance beyond that ratio. The part grows to its full
// size within a window after a start: the process before this one may have spent it.

// The retry budget.
const (
	retryRatioShare     = 0.7 // share of the retry ratio that is used
	retryAllowanceShare = 0.6 // share of the allowance beyond the ratio that is used
)

// retryBuckets is the number of buckets that a window is counted in.
const retryBuckets = 16

// retryBudget counts first attempts and retries in buckets of a sixteenth of the window. It has one bucket more than a
// window: the current one is incomplete. See allows.
type retryBudget struct {
	bucket        int64 // number of the current bucket since the clock's start; its index is the number modulo retryBuckets+1
	firstAttempts [retryBuckets + 1]uint32
	retries       [retryBuckets + 1]uint32
}

// retryPolicy holds the bounds of a retry budget.
type retryPolicy struct {
	window    time.Duration
	ratio     float64       // retries for each first attempt within the window
	allowance float64       // retries beyond that within the window
	since     time.Duration // start of the Placer, from which the allowance grows to its full size within a window
}

// retryPolicy returns this proxy's part of the budget. The allowance is divided by one more than the known proxies, which
// leaves room for one that this proxy does not count.
func (p *Placer) retryPolicy() retryPolicy {
	policy := retryPolicy{window: p.options.RetryWindow, ratio: retryRatioShare * p.options.RetryRatio, since: p.startedAt}
	if p.proxyCount > 0 {
		policy.allowance = retryAllowanceShare * p.options.RetryAllowance / float64(p.proxyCount+1)
	}
	return policy
}

// advance clears the buckets that have left the window.
func (b *retryBudget) advance(now time.Duration, window time.Duration) {
	current := int64(now / (window / retryBuckets))
	if current-b.bucket > retryBuckets {
		b.firstAttempts = [retryBuckets + 1]uint32{}
		b.retries = [retryBuckets + 1]uint32{}
		b.bucket = current
	}
	for b.bucket < current {
		b.bucket++
		slot := b.bucket % (retryBuckets + 1)
		b.firstAttempts[slot] = 0
		b.retries[slot] = 0
	}
}

// allows reports whether one more retry may be sent. Retries count for a little longer than a window, and first attempts
// for a little less, so that the bound holds in every window.
func (b *retryBudget) allows(now time.Duration, policy retryPolicy) bool {
	b.advance(now, policy.window)
	firsts, retries := uint32(0), uint32(0)
	oldest := (b.bucket + 1) % (retryBuckets + 1)
	for i := range b.firstAttempts {
		retries += b.retries[i]
		if int64(i) != oldest {
			firsts += b.firstAttempts[i]
		}
	}
	elapsedShare := min(float64(now-policy.since)/float64(policy.window), 1)
	return float64(retries)+1 <= policy.ratio*float64(firsts)+policy.allowance*elapsedShare
}

// record counts an attempt.
func (b *retryBudget) record(now time.Duration, window time.Duration, isRetry bool) {
	b.advance(now, window)
	if isRetry {
		b.retries[b.bucket%(retryBuckets+1)]++
	} else {
		b.firstAttempts[b.bucket%(retryBuckets+1)]++
	}
}

// MayRetry reports whether another attempt of a request may be made, by Request.MayRepeat and by the shared retry budget.
func (p *Placer) MayRetry(now time.Duration, request *Request) bool {
	service := p.services[request.Service]
	if service == nil || !request.MayRepeat(now) {
		return false
	}
	return !request.isRetry() || service.retryBudget.allows(now, p.retryPolicy())
}
