package placement

import "time"

// The retry budget of a service bounds what arrives beyond the first of each request within any window, over all proxies.
// Each proxy earns a share of its own first sends, which is safe whatever the others do, and has an even part of the
// retries beyond the ratio, which grows to its full size within a window after a start: its last life may have spent it.

const retrySpans = 16

// retryBudget counts first sends and repeats in spans of a sixteenth of the window.
type retryBudget struct {
	span    int64
	firsts  [retrySpans + 1]uint32
	repeats [retrySpans + 1]uint32
}

// retryRules are what a service's budget is worked out by.
type retryRules struct {
	window time.Duration
	ratio  float64
	stock  float64
	since  time.Duration
}

func (p *Placer) retryRules() retryRules {
	rules := retryRules{window: p.options.RetryWindow, ratio: retryShare * p.options.RetryRatio, since: p.started}
	if p.proxies > 0 {
		rules.stock = stockShare * p.options.RetryAllowance / float64(p.proxies+1)
	}
	return rules
}

// advance forgets the spans that have left the window.
func (b *retryBudget) advance(now time.Duration, window time.Duration) {
	span := int64(now / (window / retrySpans))
	if span-b.span > retrySpans {
		b.firsts, b.repeats = [retrySpans + 1]uint32{}, [retrySpans + 1]uint32{}
		b.span = span
	}
	for b.span < span {
		b.span++
		b.firsts[b.span%(retrySpans+1)], b.repeats[b.span%(retrySpans+1)] = 0, 0
	}
}

// allows says whether one more repeat may be sent. Repeats are counted for a little longer than a window, and first sends
// for a little less.
func (b *retryBudget) allows(now time.Duration, rules retryRules) bool {
	b.advance(now, rules.window)
	firsts, repeats := uint32(0), uint32(0)
	oldest := (b.span + 1) % (retrySpans + 1)
	for i := range b.firsts {
		repeats += b.repeats[i]
		if int64(i) != oldest {
			firsts += b.firsts[i]
		}
	}
	grown := min(float64(now-rules.since)/float64(rules.window), 1)
	return float64(repeats)+1 <= rules.ratio*float64(firsts)+rules.stock*grown
}

// sent books a send.
func (b *retryBudget) sent(now time.Duration, window time.Duration, repeat bool) {
	b.advance(now, window)
	if repeat {
		b.repeats[b.span%(retrySpans+1)]++
	} else {
		b.firsts[b.span%(retrySpans+1)]++
	}
}

// MayRetry says whether another attempt of a request may be made: by its tries, by whether it may have run, by its time
// and by the budget that all proxies share.
func (p *Placer) MayRetry(now time.Duration, r *Request) bool {
	s := p.services[r.Service]
	if s == nil || r.Route == nil || now >= r.Deadline || len(r.TriedRunners) >= max(r.Route.MaxAttempts, 1) {
		return false
	}
	if r.MayHaveRun && !r.Route.IsIdempotent() {
		return false
	}
	return !r.repeats() || s.budget.allows(now, p.retryRules())
}
