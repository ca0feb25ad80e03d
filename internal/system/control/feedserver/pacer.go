package feedserver

import (
	"sync"
	"time"
)

const (
	// minBulkBytes is the size from which replies are paced; smaller ones are sent at once and do not count.
	minBulkBytes = 4 << 10
	// maxBulkDelay is how long a reply waits for its turn; beyond it, the follower has to call again.
	maxBulkDelay = 300 * time.Millisecond
	// burstAllowance bounds the burst after an idle period: the bytes that the pacer's rate allows within it go without
	// delay.
	burstAllowance = 20 * time.Millisecond
)

// pacer spreads large replies over time, so that other traffic on the machine's link does not queue behind them. Replies
// get their turns in the order of their calls. It has no clock of its own.
type pacer struct {
	bytesPerSecond float64 // 0: no limit

	mutex    sync.Mutex
	nextFree time.Duration // when all admitted replies have been sent at that rate
}

// admit returns the delay until a reply of so many bytes may be sent. If that is too long, the reply is not admitted and
// the delay says when to call again: before the replies in the queue have all been sent, so that the link is never idle.
func (p *pacer) admit(now time.Duration, bytes int) (wait time.Duration, admitted bool) {
	if p.bytesPerSecond <= 0 || bytes < minBulkBytes {
		return 0, true
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.nextFree = max(p.nextFree, now-burstAllowance)
	wait = max(0, p.nextFree-now)
	if wait > maxBulkDelay {
		return wait - maxBulkDelay/2, false
	}
	p.nextFree += time.Duration(float64(bytes) / p.bytesPerSecond * float64(time.Second))
	return wait, true
}
