package agentclient

import (
	"strings"
	"time"

	"cinderroad/internal/system/configuration"
	"cinderroad/internal/system/discovery"
	"cinderroad/internal/system/feed"
)

// feedState is the decoded state of the feed. It belongs to one goroutine.
type feedState struct {
	startedAt      time.Time
	tables         []*feed.Table // by partition
	received       []bool        // by partition: a batch has arrived
	version        uint64
	services       map[string]*configuration.Service
	evacuatedZones map[string]bool
	runners        map[string]Runner
	problems       []problem
	peersDigest    uint64 // of the last peer list; 0: none
}

func newFeedState(runnerPartitions int) *feedState {
	s := &feedState{
		startedAt:      time.Now(),
		services:       map[string]*configuration.Service{},
		evacuatedZones: map[string]bool{},
		runners:        map[string]Runner{},
	}
	for partition := range feed.Partition(1 + runnerPartitions) {
		s.tables = append(s.tables, feed.NewTable(partition))
	}
	s.received = make([]bool, len(s.tables))
	return s
}

// positions returns the position up to which each partition was received.
func (s *feedState) positions() []feed.Position {
	positions := make([]feed.Position, len(s.tables))
	for i, table := range s.tables {
		positions[i] = table.Position()
	}
	return positions
}

// apply applies a reply and returns the changes. Sets that changed are only marked; fillSets fills them in.
func (s *feedState) apply(reply *feed.FollowReply) Update {
	var update Update
	now := time.Since(s.startedAt)
	for _, batch := range reply.Batches {
		if int(batch.Partition) >= len(s.tables) {
			continue
		}
		table := s.tables[batch.Partition]
		changed := table.Apply(now, batch)
		s.received[batch.Partition] = s.received[batch.Partition] || table.Index() > 0
		for i := range changed {
			s.applyItem(&update, &changed[i])
		}
	}
	update.Version = s.version
	update.Complete = s.isComplete()
	update.ProxyCount = reply.Proxies
	if reply.PeersDigest != 0 && reply.PeersDigest != s.peersDigest {
		s.peersDigest = reply.PeersDigest
		update.Peers = &reply.Peers
	}
	return update
}

// isComplete reports whether a configuration is known and the runner partitions of all its services have been received.
func (s *feedState) isComplete() bool {
	for name := range s.services {
		if !s.received[feed.PartitionOf(name, len(s.tables)-1)] {
			return false
		}
	}
	return s.version > 0
}

// applyItem applies one changed item.
func (s *feedState) applyItem(update *Update, item *feed.Item) {
	var err error
	switch key := item.Key; {
	case key == feed.KeyVersion:
		err = s.applyVersion(item)
	case key == feed.KeyLimits:
		update.Limits, err = decodeLimits(item)
	case strings.HasPrefix(key, feed.KeyPrefixRoute):
		err = applyRoute(update, item)
	case strings.HasPrefix(key, feed.KeyPrefixService):
		err = s.applyService(update, item)
	case strings.HasPrefix(key, feed.KeyPrefixEvacuation):
		s.applyEvacuation(update, item)
	case strings.HasPrefix(key, feed.KeyPrefixRunner):
		err = s.applyRunner(update, item)
	}
	if err != nil {
		s.problems = append(s.problems, problem{key: item.Key, err: err})
	}
}

func (s *feedState) applyVersion(item *feed.Item) error {
	if item.Deleted {
		return nil
	}
	version, err := configuration.DecodeVersion(item.Value)
	if err == nil {
		s.version = version
	}
	return err
}

func decodeLimits(item *feed.Item) (*configuration.Limits, error) {
	if item.Deleted {
		return &configuration.Limits{}, nil
	}
	return configuration.DecodeLimits(item.Value)
}

// applyRoute adds a route that changed or was removed to the update.
func applyRoute(update *Update, item *feed.Item) error {
	name := item.Key[len(feed.KeyPrefixRoute):]
	if item.Deleted {
		update.RemovedRoutes = append(update.RemovedRoutes, name)
		return nil
	}
	route, err := configuration.DecodeRoute(item.Value)
	if err != nil {
		return err
	}
	update.Routes = append(update.Routes, route)
	return nil
}

// applyService records a service and marks the set of services as changed.
func (s *feedState) applyService(update *Update, item *feed.Item) error {
	name := item.Key[len(feed.KeyPrefixService):]
	if item.Deleted {
		delete(s.services, name)
	} else {
		service, err := configuration.DecodeService(item.Value)
		if err != nil {
			return err
		}
		s.services[name] = service
	}
	update.Services = &[]*configuration.Service{}
	return nil
}

// applyEvacuation records an evacuated zone and marks the set of zones as changed.
func (s *feedState) applyEvacuation(update *Update, item *feed.Item) {
	zone := item.Key[len(feed.KeyPrefixEvacuation):]
	if item.Deleted {
		delete(s.evacuatedZones, zone)
	} else {
		s.evacuatedZones[zone] = true
	}
	update.EvacuatedZones = &map[string]bool{}
}

// applyRunner records a runner and marks the set of runners as changed.
func (s *feedState) applyRunner(update *Update, item *feed.Item) error {
	id := item.Key[len(feed.KeyPrefixRunner):]
	if item.Deleted {
		delete(s.runners, id)
	} else {
		decoded, err := discovery.DecodeRunner(item.Value)
		if err != nil {
			return err
		}
		s.runners[id] = newRunner(decoded, time.Now().Add(-item.Age))
	}
	update.Runners = &[]Runner{}
	return nil
}

// newRunner converts the durations of a runner, which count from when it was listed, into times.
func newRunner(listed discovery.Runner, at time.Time) Runner {
	r := Runner{Runner: listed}
	if listed.SlowStartRemaining > 0 {
		r.SlowStartUntil = at.Add(listed.SlowStartRemaining)
	}
	if listed.TimeToTermination > 0 {
		r.TerminatesAt = at.Add(listed.TimeToTermination)
	}
	return r
}

// fillSets replaces the sets marked as changed with their complete contents.
func (s *feedState) fillSets(update *Update) {
	if update.Services != nil {
		services := make([]*configuration.Service, 0, len(s.services))
		for _, service := range s.services {
			services = append(services, service)
		}
		update.Services = &services
	}
	if update.EvacuatedZones != nil {
		zones := make(map[string]bool, len(s.evacuatedZones))
		for zone := range s.evacuatedZones {
			zones[zone] = true
		}
		update.EvacuatedZones = &zones
	}
	if update.Runners != nil {
		runners := make([]Runner, 0, len(s.runners))
		for _, runner := range s.runners {
			runners = append(runners, runner)
		}
		update.Runners = &runners
	}
}
