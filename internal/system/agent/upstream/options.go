package upstream

import (
	"time"

	"cinderroad/internal/system/feed"
)

// Options are the timeouts and intervals of a Selector. A zero field takes its default.
type Options struct {
	PollWait           time.Duration // how long a followed replica may hold a poll open; default 1 s
	ReplyTimeout       time.Duration // allowed beyond PollWait for the reply of a followed replica; default 1.2 s
	ProbeTimeout       time.Duration // for the reply to a poll without a wait; default 700 ms
	DialTimeout        time.Duration // to connect; doubles with each failure, up to ProbeTimeout; default 250 ms
	Partitions         int           // number of partitions followed; default 1
	StaleAfter         time.Duration // age from which a replica is stale in a partition; default feed.StaleAfter
	CutOffAfter        time.Duration // time without an up-to-date reply until a partition counts as cut off; default 2.5 s
	Backoff            time.Duration // before a candidate is retried; doubles with each failure; default 250 ms
	MaxBackoff         time.Duration // upper bound of Backoff and of Reply.RetryAfter; default 1 s
	StaleReplyDelay    time.Duration // added to the delay of a search by each stale reply, up to maxStaleReplies times; default 50 ms
	ReconsiderInterval time.Duration // between searches for a preceding candidate; default 10 s
	// PartialInterval is how long a replica that lacks partitions is followed before the other candidates are polled
	// again. It doubles each time, up to ReconsiderInterval; default 2 s.
	PartialInterval time.Duration
}

func (o *Options) setDefaults() {
	setDefault(&o.PollWait, time.Second)
	setDefault(&o.ReplyTimeout, 1200*time.Millisecond)
	setDefault(&o.ProbeTimeout, 700*time.Millisecond)
	setDefault(&o.DialTimeout, 250*time.Millisecond)
	setDefault(&o.StaleAfter, feed.StaleAfter)
	setDefault(&o.CutOffAfter, 2500*time.Millisecond)
	setDefault(&o.Backoff, 250*time.Millisecond)
	setDefault(&o.MaxBackoff, time.Second)
	setDefault(&o.StaleReplyDelay, 50*time.Millisecond)
	setDefault(&o.ReconsiderInterval, 10*time.Second)
	setDefault(&o.PartialInterval, 2*time.Second)
	if o.Partitions == 0 {
		o.Partitions = 1
	}
}

func setDefault(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}

// maxDoublings bounds the growth of a backoff.
const maxDoublings = 8

// doubled returns a duration that doubles with each of a number of times, of which maxDoublings count.
func doubled(duration time.Duration, times int) time.Duration {
	return duration << min(times, maxDoublings)
}
