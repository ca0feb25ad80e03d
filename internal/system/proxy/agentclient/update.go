// Package uplink is the proxy's link to the agent of its machine: it follows the feed of the control state and reports
// what the proxy is and has learnt. It decodes what comes, so that the data plane is handed typed changes only.
package agentclient

import (
	"strings"
	"time"

	"cinderroad/internal/system/configuration"
	"cinderroad/internal/system/discovery"
	"cinderroad/internal/system/feed"
)

// Update is what changed in the control state since the update before. Fields that are nil did not change.
type Update struct {
	Version   uint64 // of the configuration in force; 0: none is known
	Routes    []*configuration.Route
	Removed   []string // names of routes; they go before Routes come
	Services  *[]*configuration.Service
	Limits    *configuration.Limits
	Evacuated *map[string]bool // zones
	Runners   *[]Runner
	Complete  bool         // a configuration is known, and so are the partitions that hold the runners of its services
	Proxies   int          // that may be serving; 0: not known
	Peers     *[]feed.Peer // the other ones, the whole set
}

// Runner is a runner with the times of the process's steady clock to which the platform's spans refer.
type Runner struct {
	discovery.Runner
	ColdUntil time.Time // the zero value: warm
	GoneAt    time.Time // the zero value: not told
}

// Finding is an item of the feed that makes no sense; what was held under its key stays.
type Finding struct {
	Key string
	Err error
}

// state is what the feed has said, decoded. It belongs to one goroutine.
type state struct {
	began     time.Time
	tables    []*feed.Table // by partition
	heard     []bool        // partitions of which a batch has come
	version   uint64
	services  map[string]*configuration.Service
	evacuated map[string]bool
	runners   map[string]Runner
	findings  []Finding
	peers     uint64 // digest of the peers that were told last; 0: none
}

func newState(runnerPartitions int) *state {
	s := &state{began: time.Now(), services: map[string]*configuration.Service{}, evacuated: map[string]bool{},
		runners: map[string]Runner{}}
	for partition := range feed.Partition(1 + runnerPartitions) {
		s.tables = append(s.tables, feed.NewTable(partition))
	}
	s.heard = make([]bool, len(s.tables))
	return s
}

// positions say how far each partition is held.
func (s *state) positions() []feed.Position {
	positions := make([]feed.Position, len(s.tables))
	for i, table := range s.tables {
		positions[i] = table.Position()
	}
	return positions
}

// take applies a reply and returns what changed by it.
func (s *state) take(reply *feed.FollowReply) Update {
	var update Update
	now := time.Since(s.began)
	for _, batch := range reply.Batches {
		if int(batch.Partition) >= len(s.tables) {
			continue
		}
		table := s.tables[batch.Partition]
		changed := table.Apply(now, batch)
		s.heard[batch.Partition] = s.heard[batch.Partition] || table.Index() > 0
		for i := range changed {
			s.change(&update, &changed[i])
		}
	}
	update.Version = s.version
	update.Complete = s.complete()
	update.Proxies = reply.Proxies
	if reply.PeersDigest != 0 && reply.PeersDigest != s.peers {
		s.peers = reply.PeersDigest
		update.Peers = &reply.Peers
	}
	return update
}

// complete says whether a configuration is known and the partitions of all its services have been heard of.
func (s *state) complete() bool {
	for name := range s.services {
		if !s.heard[feed.PartitionOf(name, len(s.tables)-1)] {
			return false
		}
	}
	return s.version > 0
}

// change takes one item that changed.
func (s *state) change(update *Update, item *feed.Item) {
	var err error
	switch key := item.Key; {
	case key == feed.KeyVersion:
		err = s.changeVersion(item)
	case key == feed.KeyLimits:
		update.Limits, err = limitsOf(item)
	case strings.HasPrefix(key, feed.KeyPrefixRoute):
		err = changeRoute(update, item)
	case strings.HasPrefix(key, feed.KeyPrefixService):
		err = s.changeService(update, item)
	case strings.HasPrefix(key, feed.KeyPrefixEvacuation):
		s.changeEvacuation(update, item)
	case strings.HasPrefix(key, feed.KeyPrefixRunner):
		err = s.changeRunner(update, item)
	}
	if err != nil {
		s.findings = append(s.findings, Finding{Key: item.Key, Err: err})
	}
}

func (s *state) changeVersion(item *feed.Item) error {
	if item.Deleted {
		return nil
	}
	version, err := configuration.DecodeVersion(item.Value)
	if err == nil {
		s.version = version
	}
	return err
}

func limitsOf(item *feed.Item) (*configuration.Limits, error) {
	if item.Deleted {
		return &configuration.Limits{}, nil
	}
	return configuration.DecodeLimits(item.Value)
}

func changeRoute(update *Update, item *feed.Item) error {
	name := item.Key[len(feed.KeyPrefixRoute):]
	if item.Deleted {
		update.Removed = append(update.Removed, name)
		return nil
	}
	route, err := configuration.DecodeRoute(item.Value)
	if err != nil {
		return err
	}
	update.Routes = append(update.Routes, route)
	return nil
}

func (s *state) changeService(update *Update, item *feed.Item) error {
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

func (s *state) changeEvacuation(update *Update, item *feed.Item) {
	zone := item.Key[len(feed.KeyPrefixEvacuation):]
	if item.Deleted {
		delete(s.evacuated, zone)
	} else {
		s.evacuated[zone] = true
	}
	update.Evacuated = &map[string]bool{}
}

func (s *state) changeRunner(update *Update, item *feed.Item) error {
	id := item.Key[len(feed.KeyPrefixRunner):]
	if item.Deleted {
		delete(s.runners, id)
	} else {
		decoded, err := discovery.DecodeRunner(item.Value)
		if err != nil {
			return err
		}
		s.runners[id] = runnerOf(decoded, time.Now().Add(-item.Age))
	}
	update.Runners = &[]Runner{}
	return nil
}

// runnerOf turns the spans of a runner that was listed at a time into times.
func runnerOf(decoded discovery.Runner, listed time.Time) Runner {
	r := Runner{Runner: decoded}
	if decoded.SlowStartRemaining > 0 {
		r.ColdUntil = listed.Add(decoded.SlowStartRemaining)
	}
	if decoded.TimeToTermination > 0 {
		r.GoneAt = listed.Add(decoded.TimeToTermination)
	}
	return r
}

// fill puts the whole sets that changed into an update.
func (s *state) fill(update *Update) {
	if update.Services != nil {
		services := make([]*configuration.Service, 0, len(s.services))
		for _, service := range s.services {
			services = append(services, service)
		}
		update.Services = &services
	}
	if update.Evacuated != nil {
		zones := make(map[string]bool, len(s.evacuated))
		for zone := range s.evacuated {
			zones[zone] = true
		}
		update.Evacuated = &zones
	}
	if update.Runners != nil {
		runners := make([]Runner, 0, len(s.runners))
		for _, runner := range s.runners {
			runners = append(runners, runner)
		}
		update.Runners = &runners
	}
}
