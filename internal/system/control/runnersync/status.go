package runnersync

import (
	"sync/atomic"
	"time"
)

// Status is the duty as operators see it.
type Status struct {
	Holder   bool          // this machine has the duty
	Answered bool          // the platform has answered since it has
	ListAge  time.Duration // since the platform's last answer
	Calls    uint64        // to the platform since the start
}

// progress is what Status tells of a duty that runs.
type progress struct {
	holder   atomic.Bool
	answered atomic.Bool
	listed   atomic.Int64 // steady time of the last answer
	calls    atomic.Uint64
}

func (p *progress) begin() {
	p.answered.Store(false)
	p.holder.Store(true)
}

func (p *progress) lapse() { p.holder.Store(false) }

func (p *progress) succeeded(now time.Duration) {
	p.listed.Store(int64(now))
	p.answered.Store(true)
}

// Status describes the duty. It may be called while the duty runs.
func (d *Duty) Status() Status {
	answered := d.progress.answered.Load()
	status := Status{Holder: d.progress.holder.Load(), Answered: answered, Calls: d.progress.calls.Load()}
	if answered {
		status.ListAge = d.options.Now() - time.Duration(d.progress.listed.Load())
	}
	return status
}
