package feedserver

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestPacerQueuesLargeReplies(t *testing.T) {
	const size = 100 << 10
	p := pacer{bytesPerSecond: 1 << 20} // a reply each 98 ms
	var waits []time.Duration
	for range 10 {
		wait, admitted := p.admit(time.Hour, size)
		if !admitted {
			if wait <= maxBulkDelay/2 || wait > maxBulkDelay/2+100*time.Millisecond {
				t.Errorf("has to call again after %v", wait)
			}
			break
		}
		waits = append(waits, wait)
	}
	if len(waits) != 4 || waits[0] != 0 || waits[3] < 250*time.Millisecond {
		t.Errorf("waits are %v", waits)
	}
	if wait, admitted := p.admit(time.Hour, minBulkBytes-1); wait != 0 || !admitted {
		t.Errorf("a small reply waits for %v", wait)
	}
	if wait, admitted := p.admit(time.Hour+time.Second, size); wait != 0 || !admitted {
		t.Errorf("after a pause a reply waits for %v", wait)
	}
}

func TestPacerWithoutLimit(t *testing.T) {
	var p pacer
	for range 100 {
		if wait, admitted := p.admit(0, 1<<20); wait != 0 || !admitted {
			t.Fatalf("a reply waits for %v", wait)
		}
	}
}

// TestPacerRate draws followers that call at any time, and checks that the rate is not exceeded in any span and that a
// follower which calls again after the delay that it was given is served.
func TestPacerRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rate = 1 << 20
		p := pacer{bytesPerSecond: rate}
		now := time.Duration(0)
		sent := 0
		largest := 0
		var last time.Duration
		for range rapid.IntRange(1, 300).Draw(t, "calls") {
			now += time.Duration(rapid.Int64Range(0, int64(200*time.Millisecond)).Draw(t, "pause"))
			bytes := rapid.IntRange(minBulkBytes, 300<<10).Draw(t, "bytes")
			wait, admitted := p.admit(now, bytes)
			if !admitted {
				now += wait
				secondWait, secondAdmitted := p.admit(now, bytes)
				if !secondAdmitted || secondWait > maxBulkDelay/2 {
					t.Fatalf("a follower that calls again as told waits for %v more, admitted: %v", secondWait, secondAdmitted)
				}
				wait = secondWait
			}
			if wait > maxBulkDelay || now+wait < last {
				t.Fatalf("sent at %v after %v, the previous one at %v", now+wait, wait, last)
			}
			last = now + wait
			sent += bytes
			largest = max(largest, bytes)
			if allowed := rate*(last+burstAllowance).Seconds() + float64(largest); float64(sent) > allowed+1 {
				t.Fatalf("%d bytes within %v", sent, last)
			}
		}
	})
}
