package runnersync

import (
	"sync/atomic"
	"time"
)

// Status describes a Syncer to operators.
type Status struct {
	Holder       bool          // this machine polls the list
	ListReceived bool          // the platform has responded since this machine became the holder
	ListAge      time.Duration // since the platform's last response; 0 unless ListReceived
	CallCount    uint64        // calls to the platform since the process started
}

// liveStatus holds what Status reports; the polling goroutine writes it.
type liveStatus struct {
	holder       atomic.Bool
	listReceived atomic.Bool
	lastListAt   atomic.Int64 // time of the last response by Options.Now, in nanoseconds
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

// Status returns the current status. It may be called while Run runs.
func (s *Syncer) Status() Status {
	listReceived := s.progress.listReceived.Load()
	status := Status{Holder: s.progress.holder.Load(), ListReceived: listReceived, CallCount: s.progress.callCount.Load()}
	if listReceived {
		status.ListAge = s.options.Now() - time.Duration(s.progress.lastListAt.Load())
	}
	return status
}
