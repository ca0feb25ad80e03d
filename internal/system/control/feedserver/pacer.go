package feedserver

import (
	"sync"
	"time"
)

// Bounds of the pace of large answers.
const (
	minBulkBytes   = 4 << 10                // bytes; smaller answers go at once and count for nothing
	maxBulkDelay   = 300 * time.Millisecond // that a large answer waits for its turn; beyond it the follower is told to come back
	burstAllowance = 20 * time.Millisecond  // worth of bytes that go without a wait after a pause
)

// pacer spreads large answers over time, so that what else goes over the machine's link does not stand behind them.
// Answers have their turns in the order in which they are asked for. It has no clock of its own.
type pacer struct {
	bytesPerSecond float64 // 0: no bound

	mutex    sync.Mutex
	nextFree time.Duration // when all that was admitted has been sent at that pace
}

// admit says how long an answer of so many bytes is to wait for its turn. Where that is too long it is not admitted, and
// the time says when to ask again: while those before it are still being sent, so that the link is never idle.
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
