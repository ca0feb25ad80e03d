package feedserver

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"cinderroad/internal/system/feed"
)

func TestChangesAreReturnedAtOnce(t *testing.T) {
	fixture := newTestServer()
	if reply := fixture.follow(t, 0); len(reply.Batches) != 0 || !slices.Equal(reply.Ages, fixture.ages) || reply.Proxies != 3 {
		t.Errorf("without changes: %+v", reply)
	}
	fixture.sources[0].put(4, "a", 1)
	fixture.sources[2].put(9, "b", 1)
	fixture.clock.advance(time.Second)
	reply := fixture.follow(t, time.Hour)
	if len(reply.Batches) != 2 || reply.Batches[0].Partition != 0 || reply.Batches[1].Partition != 2 ||
		!reply.Batches[0].Snapshot || reply.Batches[1].To != 9 || reply.Batches[1].Items[0].Age != time.Second {
		t.Errorf("from the start: %+v", reply)
	}
	if reply := fixture.follow(t, 0, 4, 0, 9); len(reply.Batches) != 0 {
		t.Errorf("the follower is current: %+v", reply)
	}
	if reply := fixture.follow(t, 0, 40, 40, 40); len(reply.Batches) != 0 {
		t.Errorf("the follower is ahead: %+v", reply)
	}
	fixture.sources[2].put(12, "c", 1)
	reply = fixture.follow(t, time.Hour, 4, 0, 9)
	if len(reply.Batches) != 1 || reply.Batches[0].Snapshot || len(reply.Batches[0].Items) != 1 {
		t.Errorf("one item changed: %+v", reply)
	}
}

func TestLongPoll(t *testing.T) {
	fixture := newTestServer()
	fixture.sources[0].put(1, "a", 1)
	const followers = 200
	replies := make(chan *feed.FollowReply, followers)
	for range followers {
		go func() {
			reply, err := fixture.server.Follow(context.Background(), newFollowRequest(time.Hour, []uint64{1}))
			if err != nil {
				t.Error(err)
			}
			replies <- reply
		}()
	}
	fixture.waitForOpenCalls(t, followers)
	fixture.sources[0].put(2, "b", 1)
	fixture.notifier.Notify()
	for range followers {
		reply := receive(t, replies)
		if len(reply.Batches) != 1 || reply.Batches[0].To != 2 {
			t.Fatalf("%+v", reply)
		}
	}
	if reads := fixture.sources[0].reads; reads > 2 {
		t.Errorf("%d followers cost %d reads", followers, reads)
	}
}

func TestOpenCallsEnd(t *testing.T) {
	fixture := newTestServer()
	replies := make(chan *feed.FollowReply, 1)
	start := func(ctx context.Context) {
		go func() {
			reply, _ := fixture.server.Follow(ctx, newFollowRequest(time.Hour, nil))
			replies <- reply
		}()
		fixture.waitForOpenCalls(t, 1)
	}
	ctx, cancel := context.WithCancel(context.Background())
	start(ctx)
	cancel()
	receive(t, replies)
	fixture.waitForOpenCalls(t, 0)
	start(context.Background())
	fixture.server.Stop()
	fixture.server.Stop()
	receive(t, replies)
	if reply := fixture.follow(t, time.Millisecond); len(reply.Batches) != 0 {
		t.Errorf("%+v", reply)
	}
}

// TestCallEndsWhenPartitionTurnsStale checks that a follower learns at once that a partition which it takes for current is
// stale.
func TestCallEndsWhenPartitionTurnsStale(t *testing.T) {
	fixture := newTestServer()
	all := feed.FirstPartitions(3)
	for _, test := range []struct {
		ages    []time.Duration
		current feed.PartitionSet
		want    time.Duration
	}{
		{[]time.Duration{0, 0, 0}, all, feed.StaleAfter + staleCheckMargin},
		{[]time.Duration{0, time.Second, 0}, all, feed.StaleAfter - time.Second + staleCheckMargin},
		{[]time.Duration{0, feed.AgeNever, 0}, all, staleCheckMargin},
		{[]time.Duration{0, feed.AgeNever, time.Hour}, feed.NewPartitionSet(0), feed.StaleAfter + staleCheckMargin},
		{[]time.Duration{0, feed.AgeNever, 0}, 0, MaxWait},
	} {
		fixture.ages = test.ages
		if got := fixture.server.untilStale(test.current); got != test.want {
			t.Errorf("ages %v, of which %v are current: the call ends after %v, want %v", test.ages, test.current, got, test.want)
		}
	}
	fixture.ages = []time.Duration{0, feed.AgeNever, 0}
	started := time.Now()
	request := newFollowRequest(MaxWait, nil)
	request.Current = all
	if _, err := fixture.server.Follow(context.Background(), request); err != nil {
		t.Fatal(err)
	}
	if elapsed := time.Since(started); elapsed > MaxWait/2 {
		t.Errorf("the call was held open for %v", elapsed)
	}
}

func TestTooManyFollowers(t *testing.T) {
	fixture := newTestServer()
	fixture.server.openCalls.Store(MaxFollowers)
	if _, err := fixture.server.Follow(context.Background(), newFollowRequest(0, nil)); err != ErrTooManyFollowers {
		t.Errorf("%v", err)
	}
	if n := fixture.server.openCalls.Load(); n != MaxFollowers {
		t.Errorf("%d calls are counted", n)
	}
}

func TestRepliesAreBounded(t *testing.T) {
	fixture := newTestServer()
	const items, size = 100, 8 << 10
	for i := range items {
		for _, source := range fixture.sources {
			source.put(uint64(i+1), fmt.Sprint("key", i), size)
		}
	}
	positions := []uint64{1, 1, 1}
	configurationComplete := false
	for round := range 20 {
		reply := fixture.follow(t, 0, positions...)
		if len(reply.Batches) == 0 {
			if positions[1] != items || positions[2] != items || !configurationComplete {
				t.Fatalf("the follower is at %v", positions)
			}
			return
		}
		runnerBytes := 0
		for _, batch := range reply.Batches {
			if batch.Partition == feed.ConfigurationPartition {
				configurationComplete = batch.To == items && len(batch.Items) == items-1
			} else {
				runnerBytes += batch.Size()
			}
			positions[batch.Partition] = batch.To
		}
		if runnerBytes > 2*MaxReplyBytes {
			t.Fatalf("round %d: %d bytes of runners", round, runnerBytes)
		}
	}
	t.Fatalf("the follower is at %v", positions)
}

func TestBusyReply(t *testing.T) {
	fixture := newTestServer()
	fixture.server.pacer.bytesPerSecond = 100 << 10
	fixture.sources[0].put(1, "a", 90<<10)
	if reply := fixture.follow(t, 0); len(reply.Batches) != 1 || reply.Busy != 0 {
		t.Fatalf("the first: %d batches, busy %v", len(reply.Batches), reply.Busy)
	}
	reply := fixture.follow(t, time.Hour)
	if len(reply.Batches) != 0 || reply.Busy < 600*time.Millisecond || reply.Busy > 900*time.Millisecond || reply.Proxies != 3 {
		t.Errorf("the second: %+v", reply)
	}
	fixture.clock.advance(reply.Busy)
	if reply := fixture.follow(t, 0); len(reply.Batches) != 1 {
		t.Errorf("after the second call: %+v", reply)
	}
}
