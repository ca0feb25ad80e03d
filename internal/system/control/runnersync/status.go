package runnersync

import (
	"sync/atomic"
	"time"
)

// Status is the duty as operators see it.
type Status struct {
	Holder       bool          // this machine has the duty
	ListReceived bool          // the platform has answered since it has
	ListAge      time.Duration // since the platform's last answer
	CallCount    uint64        // to the platform since the start
}

// liveStatus is what Status tells of a duty that runs.
type liveStatus struct {
	holder       atomic.Bool
	listReceived atomic.Bool
	lastListAt   atomic.Int64 // steady time of the last answer
	callCount    atomic.Uint64
}

func (p *liveStatus) acquire() {
	p.listReceived.Store(false)
	p.holder.Store(true)
}

func (p *liveStatus) release() { p.holder.Store(false) }

func (p *liveStatus) recordList(now time.Duration) {
	p.lastListAt.Store(int64(now))
	p.listReceived.Store(true)
}

// Status describes the duty. It may be called while the duty runs.
func (s *Syncer) Status() Status {
	answered := s.progress.listReceived.Load()
	status := Status{Holder: s.progress.holder.Load(), ListReceived: answered, CallCount: s.progress.callCount.Load()}
	if answered {
		status.ListAge = s.options.Now() - time.Duration(s.progress.lastListAt.Load())
	}
	return status
}
