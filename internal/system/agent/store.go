package agent

import (
	"sync"
	"time"

	"cinderroad/internal/system/agent/overlay"
	"cinderroad/internal/system/control/feedserver"
	"cinderroad/internal/system/discovery"
	"cinderroad/internal/system/feed"
)

// store holds the agent's tables, shared by its goroutines. Its methods are safe for concurrent use.
type store struct {
	now            func() time.Duration
	baseNotifier   *feedserver.Notifier // wakes followers of baseSources
	servedNotifier *feedserver.Notifier // wakes followers of servedSources

	mutex          sync.Mutex
	tables         *overlay.Tables
	lastUpToDate   []lastUpToDate  // by partition
	proxyPositions []feed.Position // positions in the served tables that the proxy last reported
}

// lastUpToDate is when a control replica was last known to be up to date with a partition.
type lastUpToDate struct {
	known bool          // false: never yet
	at    time.Duration // by store.now
}

// update applies the age of a reply that was received at now.
func (u *lastUpToDate) update(now, age time.Duration) {
	if age == feed.AgeNever {
		return
	}
	if at := now - age; !u.known || at > u.at {
		u.known = true
		u.at = at
	}
}

func newStore(now func() time.Duration, partitions int) *store {
	after := func(wait time.Duration, wake func()) { time.AfterFunc(wait, wake) }
	return &store{
		now:            now,
		baseNotifier:   feedserver.NewNotifier(now, after),
		servedNotifier: feedserver.NewNotifier(now, after),
		tables:         overlay.New(partitions),
		lastUpToDate:   make([]lastUpToDate, 1+partitions),
	}
}

// positions returns the base index of each partition.
func (s *store) positions() []feed.Position {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.tables.Positions()
}

// empty reports whether the agent has no configuration yet.
func (s *store) empty() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.tables.Empty()
}

// applyReply applies a reply of a control replica or of another agent. It returns the partitions in which the reply
// lags behind the tables.
func (s *store) applyReply(reply *feed.FollowReply) (lagging feed.PartitionSet) {
	changed := false
	s.mutex.Lock()
	now := s.now()
	for _, batch := range reply.Batches {
		batchChanged, lags := s.tables.Apply(now, batch)
		changed = changed || batchChanged
		if lags {
			lagging = lagging.With(batch.Partition)
		}
	}
	s.reconcileProxy(now)
	for partition := range s.lastUpToDate {
		s.lastUpToDate[partition].update(now, reply.Age(feed.Partition(partition)))
	}
	s.mutex.Unlock()
	if changed {
		s.baseNotifier.Notify()
		s.servedNotifier.Notify()
	}
	return lagging
}

// applyList lays the platform's list over the given partitions.
func (s *store) applyList(runners []discovery.Runner, partitions feed.PartitionSet) {
	s.mutex.Lock()
	now := s.now()
	changed := s.tables.ApplyList(now, runners, partitions)
	s.reconcileProxy(now)
	s.mutex.Unlock()
	if changed {
		s.servedNotifier.Notify()
	}
}

// dropList removes the platform's list from the given partitions.
func (s *store) dropList(partitions feed.PartitionSet) {
	s.mutex.Lock()
	changed := s.tables.DropList(s.now(), partitions)
	s.mutex.Unlock()
	if changed {
		s.servedNotifier.Notify()
	}
}

// setProxyPositions records how far the proxy is in the served tables.
func (s *store) setProxyPositions(positions []feed.Position) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.proxyPositions = positions
	s.reconcileProxy(s.now())
}

// reconcileProxy lets the proxy continue that is ahead of the served tables because of a restart of the agent. The
// caller holds the mutex.
func (s *store) reconcileProxy(now time.Duration) {
	for _, position := range s.proxyPositions {
		s.tables.Reconcile(now, position)
	}
}

// age returns the time since a control replica was last known to be up to date with a partition, or feed.AgeNever.
func (s *store) age(partition feed.Partition) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	last := s.lastUpToDate[partition]
	if !last.known {
		return feed.AgeNever
	}
	return max(0, s.now()-last.at)
}

// partitionSource is a partition as feedserver.Server reads it.
type partitionSource struct {
	store *store
	table func() *feed.Table
}

// Index returns the index of the newest change.
func (s *partitionSource) Index() uint64 {
	s.store.mutex.Lock()
	defer s.store.mutex.Unlock()
	return s.table().LastChangeIndex()
}

// Since returns the changes after the index.
func (s *partitionSource) Since(index uint64, maxBytes int) feed.Batch {
	s.store.mutex.Lock()
	defer s.store.mutex.Unlock()
	return s.table().BatchSince(s.store.now(), index, maxBytes)
}

// baseSources returns the partitions as the control replicas have them.
func (s *store) baseSources() []feedserver.Source {
	return s.sources(s.tables.Base)
}

// servedSources returns the partitions as the proxy is to have them.
func (s *store) servedSources() []feedserver.Source {
	return s.sources(s.tables.Served)
}

// sources returns the partitions of a kind of table as feedserver.Server reads them.
func (s *store) sources(table func(feed.Partition) *feed.Table) []feedserver.Source {
	sources := make([]feedserver.Source, s.tables.Partitions())
	for i := range sources {
		partition := feed.Partition(i)
		sources[i] = &partitionSource{store: s, table: func() *feed.Table { return table(partition) }}
	}
	return sources
}
