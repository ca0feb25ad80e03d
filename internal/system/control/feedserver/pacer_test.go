package feedserver

import (
	"context"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cinderroad/internal/system/feed"
)

func TestPacerQueuesLargeReplies(t *testing.T) {
	const size = 100 << 10
	p := pacer{bytesPerSecond: 1 << 20} // an answer each 98 ms
	var waits []time.Duration
	for range 10 {
		wait, admitted := p.admit(time.Hour, size)
		if !admitted {
			if wait <= maxBulkDelay/2 || wait > maxBulkDelay/2+100*time.Millisecond {
				t.Errorf("to come back after %v", wait)
			}
			break
		}
		waits = append(waits, wait)
	}
	if len(waits) != 4 || waits[0] != 0 || waits[3] < 250*time.Millisecond {
		t.Errorf("waits are %v", waits)
	}
	if wait, admitted := p.admit(time.Hour, minBulkBytes-1); wait != 0 || !admitted {
		t.Errorf("a small answer waits for %v", wait)
	}
	if wait, admitted := p.admit(time.Hour+time.Second, size); wait != 0 || !admitted {
		t.Errorf("after a pause an answer waits for %v", wait)
	}
}

func TestPacerWithoutLimit(t *testing.T) {
	var p pacer
	for range 100 {
		if wait, admitted := p.admit(0, 1<<20); wait != 0 || !admitted {
			t.Fatalf("it waits for %v", wait)
		}
	}
}

// TestPacerRate draws followers that ask at any time, and checks in each span how much is sent, and that nobody who comes
// back as told is kept for ever.
func TestPacerRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rate = 1 << 20
		p := pacer{bytesPerSecond: rate}
		now, sent, most := time.Duration(0), 0, 0
		var last time.Duration
		for range rapid.IntRange(1, 300).Draw(t, "calls") {
			now += time.Duration(rapid.Int64Range(0, int64(200*time.Millisecond)).Draw(t, "pause"))
			bytes := rapid.IntRange(minBulkBytes, 300<<10).Draw(t, "bytes")
			wait, admitted := p.admit(now, bytes)
			if !admitted {
				now += wait
				again, later := p.admit(now, bytes)
				if !later || again > maxBulkDelay/2 {
					t.Fatalf("whoever comes back as told waits for %v more, admitted: %v", again, later)
				}
				wait = again
			}
			if wait > maxBulkDelay || now+wait < last {
				t.Fatalf("it goes at %v after %v, the one before at %v", now+wait, wait, last)
			}
			last = now + wait
			sent += bytes
			most = max(most, bytes)
			if allowed := rate*(last+burstAllowance).Seconds() + float64(most); float64(sent) > allowed+1 {
				t.Fatalf("%d bytes within %v", sent, last)
			}
		}
	})
}

func TestBusyReply(t *testing.T) {
	w := newTestServer()
	w.server.pacer.bytesPerSecond = 100 << 10
	w.sources[0].put(1, "a", 90<<10)
	if reply := w.follow(t, 0); len(reply.Batches) != 1 || reply.Busy != 0 {
		t.Fatalf("the first: %d batches, busy %v", len(reply.Batches), reply.Busy)
	}
	reply := w.follow(t, time.Hour)
	if len(reply.Batches) != 0 || reply.Busy < 600*time.Millisecond || reply.Busy > 900*time.Millisecond || reply.Proxies != 3 {
		t.Errorf("the second: %+v", reply)
	}
	w.clock.advance(reply.Busy)
	if reply := w.follow(t, 0); len(reply.Batches) != 1 {
		t.Errorf("once it came back: %+v", reply)
	}
}

func TestBatchesArePackedOnce(t *testing.T) {
	w := newTestServer()
	w.sources[1].put(5, "a", 50<<10)
	request := &feed.FollowRequest{Packed: true}
	var first []byte
	for i := range 10 {
		reply, err := w.server.Follow(context.Background(), request)
		if err != nil || len(reply.Batches) != 1 || len(reply.Batches[0].Packed) == 0 {
			t.Fatalf("%+v, %v", reply, err)
		}
		batch := reply.Batches[0]
		if i == 0 {
			first = batch.Packed
		}
		if &batch.Packed[0] != &first[0] || batch.PackedAge != time.Duration(i)*time.Second {
			t.Fatalf("packed again, or %v old after %d seconds", batch.PackedAge, i)
		}
		w.clock.advance(time.Second)
	}
	if w.sources[1].reads != 1 {
		t.Errorf("it was looked through %d times", w.sources[1].reads)
	}
	if reply := w.follow(t, 0); len(reply.Batches[0].Items) != 1 || reply.Batches[0].Items[0].Age != 10*time.Second {
		t.Errorf("a follower that takes no packed batches: %+v", reply)
	}
}
