package feedserver

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"cinderroad/internal/system/feed"
)

const testTimeout = 30 * time.Second // that a state is waited for

// fakeClock is a virtual steady clock with timers.
type fakeClock struct {
	mutex  sync.Mutex
	time   time.Duration
	timers []fakeTimer
}

type fakeTimer struct {
	at  time.Duration
	run func()
}

func (c *fakeClock) now() time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.time
}

func (c *fakeClock) after(d time.Duration, run func()) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.timers = append(c.timers, fakeTimer{c.time + d, run})
}

// advance moves the clock and runs what is due.
func (c *fakeClock) advance(d time.Duration) {
	c.mutex.Lock()
	c.time += d
	var due []func()
	var later []fakeTimer
	for _, t := range c.timers {
		if t.at <= c.time {
			due = append(due, t.run)
		} else {
			later = append(later, t)
		}
	}
	c.timers = later
	c.mutex.Unlock()
	for _, run := range due {
		run()
	}
}

// countingSource is a partition's table that counts how often it is looked through.
type countingSource struct {
	clock *fakeClock
	mutex sync.Mutex
	table *feed.Table
	reads int
}

func (s *countingSource) Index() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.table.LastChangeIndex()
}

func (s *countingSource) Since(index uint64, maxBytes int) feed.Batch {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.reads++
	return s.table.BatchSince(s.clock.now(), index, maxBytes)
}

func (s *countingSource) put(index uint64, key string, size int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.table.Put(s.clock.now(), index, key, make([]byte, size))
}

type testServer struct {
	clock    *fakeClock
	sources  []*countingSource
	server   *Server
	notifier *Notifier
	ages     []time.Duration // of the partitions
}

func newTestServer() *testServer {
	s := &testServer{clock: &fakeClock{time: time.Hour}, ages: []time.Duration{7 * time.Millisecond, feed.AgeNever, 0}}
	var sources []Source
	for partition := range feed.Partition(3) {
		source := &countingSource{clock: s.clock, table: feed.NewTable(partition)}
		s.sources = append(s.sources, source)
		sources = append(sources, source)
	}
	s.notifier = NewNotifier(s.clock.now, s.clock.after)
	s.server = New(Options{
		Sources:    sources,
		Notifier:   s.notifier,
		Now:        s.clock.now,
		Age:        func(partition feed.Partition) time.Duration { return s.ages[partition] },
		ProxyCount: func() int { return 3 },
	})
	return s
}

func (s *testServer) follow(t *testing.T, wait time.Duration, positions ...uint64) *feed.FollowReply {
	t.Helper()
	reply, err := s.server.Follow(context.Background(), newFollowRequest(wait, positions))
	if err != nil {
		t.Fatal(err)
	}
	return reply
}

func newFollowRequest(wait time.Duration, positions []uint64) *feed.FollowRequest {
	request := &feed.FollowRequest{Wait: wait}
	for partition, index := range positions {
		position := feed.Position{Partition: feed.Partition(partition), Index: index}
		request.Positions = append(request.Positions, position)
	}
	return request
}

func TestChangesAreReturnedAtOnce(t *testing.T) {
	w := newTestServer()
	if reply := w.follow(t, 0); len(reply.Batches) != 0 || !slices.Equal(reply.Ages, w.ages) || reply.Proxies != 3 {
		t.Errorf("nothing is there: %+v", reply)
	}
	w.sources[0].put(4, "a", 1)
	w.sources[2].put(9, "b", 1)
	w.clock.advance(time.Second)
	reply := w.follow(t, time.Hour)
	if len(reply.Batches) != 2 || reply.Batches[0].Partition != 0 || reply.Batches[1].Partition != 2 ||
		!reply.Batches[0].Snapshot || reply.Batches[1].To != 9 || reply.Batches[1].Items[0].Age != time.Second {
		t.Errorf("from the start: %+v", reply)
	}
	if reply := w.follow(t, 0, 4, 0, 9); len(reply.Batches) != 0 {
		t.Errorf("the follower has all: %+v", reply)
	}
	if reply := w.follow(t, 0, 40, 40, 40); len(reply.Batches) != 0 {
		t.Errorf("the follower is ahead: %+v", reply)
	}
	w.sources[2].put(12, "c", 1)
	reply = w.follow(t, time.Hour, 4, 0, 9)
	if len(reply.Batches) != 1 || reply.Batches[0].Snapshot || len(reply.Batches[0].Items) != 1 {
		t.Errorf("one item changed: %+v", reply)
	}
}

func TestLongPoll(t *testing.T) {
	w := newTestServer()
	w.sources[0].put(1, "a", 1)
	const followers = 200
	replies := make(chan *feed.FollowReply, followers)
	for range followers {
		go func() {
			reply, err := w.server.Follow(context.Background(), newFollowRequest(time.Hour, []uint64{1}))
			if err != nil {
				t.Error(err)
			}
			replies <- reply
		}()
	}
	w.waitForOpenCalls(t, followers)
	w.sources[0].put(2, "b", 1)
	w.notifier.Notify()
	for range followers {
		reply := receive(t, replies)
		if len(reply.Batches) != 1 || reply.Batches[0].To != 2 {
			t.Fatalf("%+v", reply)
		}
	}
	if looks := w.sources[0].reads; looks > 2 {
		t.Errorf("%d followers cost %d looks", followers, looks)
	}
}

func (s *testServer) waitForOpenCalls(t *testing.T, n int64) {
	t.Helper()
	for end := time.Now().Add(testTimeout); s.server.openCalls.Load() != n; {
		if time.Now().After(end) {
			t.Fatalf("%d calls are open, want %d", s.server.openCalls.Load(), n)
		}
		<-time.After(time.Millisecond)
	}
}

func receive(t *testing.T, replies <-chan *feed.FollowReply) *feed.FollowReply {
	t.Helper()
	select {
	case reply := <-replies:
		return reply
	case <-time.After(testTimeout):
		t.Fatal("no answer came")
		return nil
	}
}

func TestOpenCallsEnd(t *testing.T) {
	w := newTestServer()
	replies := make(chan *feed.FollowReply, 1)
	start := func(ctx context.Context) {
		go func() {
			reply, _ := w.server.Follow(ctx, newFollowRequest(time.Hour, nil))
			replies <- reply
		}()
		w.waitForOpenCalls(t, 1)
	}
	ctx, cancel := context.WithCancel(context.Background())
	start(ctx)
	cancel()
	receive(t, replies)
	w.waitForOpenCalls(t, 0)
	start(context.Background())
	w.server.Stop()
	w.server.Stop()
	receive(t, replies)
	if reply := w.follow(t, time.Millisecond); len(reply.Batches) != 0 {
		t.Errorf("%+v", reply)
	}
}

// TestCallEndsWhenPartitionTurnsStale has a follower be told as soon as a partition is stale that it takes for up to date.
func TestCallEndsWhenPartitionTurnsStale(t *testing.T) {
	w := newTestServer()
	all := feed.FirstPartitions(3)
	for _, c := range []struct {
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
		w.ages = c.ages
		if got := w.server.untilStale(c.current); got != c.want {
			t.Errorf("ages %v, of which %v count: it ends after %v, want %v", c.ages, c.current, got, c.want)
		}
	}
	w.ages = []time.Duration{0, feed.AgeNever, 0}
	begun := time.Now()
	request := newFollowRequest(MaxWait, nil)
	request.Current = all
	if _, err := w.server.Follow(context.Background(), request); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(begun); took > MaxWait/2 {
		t.Errorf("the call was held open for %v", took)
	}
}

func TestTooManyFollowers(t *testing.T) {
	w := newTestServer()
	w.server.openCalls.Store(MaxFollowers)
	if _, err := w.server.Follow(context.Background(), newFollowRequest(0, nil)); err != ErrTooManyFollowers {
		t.Errorf("%v", err)
	}
	if n := w.server.openCalls.Load(); n != MaxFollowers {
		t.Errorf("%d calls are counted", n)
	}
}

func TestRepliesAreBounded(t *testing.T) {
	w := newTestServer()
	const items, size = 100, 8 << 10
	for i := range items {
		for _, source := range w.sources {
			source.put(uint64(i+1), fmt.Sprint("key", i), size)
		}
	}
	positions := []uint64{1, 1, 1}
	whole := false
	for round := range 20 {
		reply := w.follow(t, 0, positions...)
		if len(reply.Batches) == 0 {
			if positions[1] != items || positions[2] != items || !whole {
				t.Fatalf("the follower stands at %v", positions)
			}
			return
		}
		got := 0
		for _, batch := range reply.Batches {
			if batch.Partition == feed.ConfigurationPartition {
				whole = batch.To == items && len(batch.Items) == items-1
			} else {
				got += batch.Size()
			}
			positions[batch.Partition] = batch.To
		}
		if got > 2*MaxReplyBytes {
			t.Fatalf("round %d: %d bytes of runners", round, got)
		}
	}
	t.Fatalf("the follower stands at %v", positions)
}

func TestWakeupsAreCoalesced(t *testing.T) {
	c := &fakeClock{time: time.Hour}
	n := NewNotifier(c.now, c.after)
	woken := func(wake <-chan struct{}) bool {
		select {
		case <-wake:
			return true
		default:
			return false
		}
	}
	wake := n.Wakeup()
	n.Notify()
	if !woken(wake) {
		t.Error("the first change does not wake at once")
	}
	wake = n.Wakeup()
	for range 9 {
		c.advance(CoalesceInterval / 10)
		n.Notify()
	}
	if woken(wake) {
		t.Error("a storm wakes too often")
	}
	c.advance(CoalesceInterval / 10)
	if !woken(wake) {
		t.Error("changes within a storm do not wake at its end")
	}
	wake = n.Wakeup()
	c.advance(CoalesceInterval)
	if woken(wake) {
		t.Error("woken without a change")
	}
	n.Notify()
	if !woken(wake) {
		t.Error("a change after a storm does not wake at once")
	}
}
