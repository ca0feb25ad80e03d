package agent

import (
	"sync"
	"time"

	"cinderroad/internal/system/agent/overlay"
	"cinderroad/internal/system/control/feedserver"
	"cinderroad/internal/system/discovery"
	"cinderroad/internal/system/feed"
)

// store is what the agent knows, shared by its goroutines.
type store struct {
	now                          func() time.Duration
	baseNotifier, servedNotifier *feedserver.Notifier
	mutex                        sync.Mutex
	tables                       *overlay.Tables
	lastUpToDate                 []lastUpToDate  // by partition
	proxyPositions               []feed.Position // how far the proxy said that it holds the served partitions
}

// lastUpToDate is when the control replicas' word on a partition was up to date last.
type lastUpToDate struct {
	known bool
	at    time.Duration // by store.now
}

// update takes the age of a word that came now.
func (u *lastUpToDate) update(now, age time.Duration) {
	if age == feed.AgeNever {
		return
	}
	if at := now - age; !u.known || at > u.at {
		u.known, u.at = true, at
	}
}

func newStore(now func() time.Duration, partitions int) *store {
	after := func(wait time.Duration, wake func()) { time.AfterFunc(wait, wake) }
	return &store{
		now:            now,
		baseNotifier:   feedserver.NewNotifier(now, after),
		servedNotifier: feedserver.NewNotifier(now, after),
		tables:         overlay.New(partitions),

		lastUpToDate: make([]lastUpToDate, 1+partitions),
	}
}

// positions say how far the control replicas' changes are held.
func (s *store) positions() []feed.Position {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.tables.Positions()
}

// empty says whether no configuration is held.
func (s *store) empty() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.tables.Empty()
}

// applyReply applies a reply of a control replica, or of another agent. It returns the partitions in which the reply lags behind
// what is held.
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

// applyList lays the platform's list over the runners of the partitions named.
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

// dropList takes the platform's list away again from the partitions named.
func (s *store) dropList(partitions feed.PartitionSet) {
	s.mutex.Lock()
	changed := s.tables.DropList(s.now(), partitions)
	s.mutex.Unlock()
	if changed {
		s.servedNotifier.Notify()
	}
}

// setProxyPositions takes how far the proxy holds the served partitions.
func (s *store) setProxyPositions(positions []feed.Position) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.proxyPositions = positions
	s.reconcileProxy(s.now())
}

// reconcileProxy has the proxy served although an earlier life of this agent was ahead.
func (s *store) reconcileProxy(now time.Duration) {
	for _, position := range s.proxyPositions {
		s.tables.Reconcile(now, position)
	}
}

// age is how long ago the control replicas' word on a partition was up to date.
func (s *store) age(partition feed.Partition) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	last := s.lastUpToDate[partition]
	if !last.known {
		return feed.AgeNever
	}
	return max(0, s.now()-last.at)
}

// partitionSource is a partition as following.Server reads it.
type partitionSource struct {
	store *store
	table func() *feed.Table
}

// Index is that of the newest change of an item.
func (s *partitionSource) Index() uint64 {
	s.store.mutex.Lock()
	defer s.store.mutex.Unlock()
	return s.table().LastChangeIndex()
}

// Since returns what changed after the index.
func (s *partitionSource) Since(index uint64, maxBytes int) feed.Batch {
	s.store.mutex.Lock()
	defer s.store.mutex.Unlock()
	return s.table().BatchSince(s.store.now(), index, maxBytes)
}

// baseSources are the partitions as the control replicas have them.
func (s *store) baseSources() []feedserver.Source {
	return s.sources(s.tables.Base)
}

// servedSources are the partitions as the proxy is to have them.
func (s *store) servedSources() []feedserver.Source {
	return s.sources(s.tables.Served)
}

func (s *store) sources(table func(feed.Partition) *feed.Table) []feedserver.Source {
	sources := make([]feedserver.Source, s.tables.Partitions())
	for i := range sources {
		partition := feed.Partition(i)
		sources[i] = &partitionSource{store: s, table: func() *feed.Table { return table(partition) }}
	}
	return sources
}
