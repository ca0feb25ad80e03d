package feedserver

import (
	"context"
	"sync"
	"testing"
	"time"

	"cinderroad/internal/system/feed"
)

// testTimeout bounds waits for other goroutines.
const testTimeout = 30 * time.Second

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

// advance moves the clock and runs the timers that are due.
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

// countingSource is a partition's table that counts how often it is read.
type countingSource struct {
	clock *fakeClock
	mutex sync.Mutex
	table *feed.Table
	reads int
}

// Index implements Source.
func (s *countingSource) Index() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.table.LastChangeIndex()
}

// Since implements Source.
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

// testServer is a Server over three partitions in virtual time.
type testServer struct {
	clock    *fakeClock
	sources  []*countingSource
	server   *Server
	notifier *Notifier
	ages     []time.Duration // by partition
}

func newTestServer() *testServer {
	fixture := &testServer{clock: &fakeClock{time: time.Hour}, ages: []time.Duration{7 * time.Millisecond, feed.AgeNever, 0}}
	var sources []Source
	for partition := range feed.Partition(3) {
		source := &countingSource{clock: fixture.clock, table: feed.NewTable(partition)}
		fixture.sources = append(fixture.sources, source)
		sources = append(sources, source)
	}
	fixture.notifier = NewNotifier(fixture.clock.now, fixture.clock.after)
	fixture.server = New(Options{
		Sources:    sources,
		Notifier:   fixture.notifier,
		Now:        fixture.clock.now,
		Age:        func(partition feed.Partition) time.Duration { return fixture.ages[partition] },
		ProxyCount: func() int { return 3 },
	})
	return fixture
}

// follow makes a call that must succeed.
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

// waitForOpenCalls waits until n calls are open.
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
		t.Fatal("no reply arrived")
		return nil
	}
}
