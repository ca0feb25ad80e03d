package agentclient

import (
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"cinderroad/internal/system/configuration"
	"cinderroad/internal/system/discovery"
	"cinderroad/internal/system/feed"
)

// configurationItems returns one item of each kind of the configuration, as the feed has them.
func configurationItems() []feed.Item {
	const ordinal = "\x00\x00\x00\x00\x00\x00\x00\x01"
	return []feed.Item{
		{Key: "evacuation/east-a", Index: 1, Value: []byte{}},
		{Key: "limits", Index: 2, Value: []byte(`{"max_header_bytes":1,"max_body_bytes":2,"header_wait_ms":3,"idle_limit_ms":4}`)},
		{
			Key:   "route/r",
			Index: 3,
			Value: []byte(ordinal + `{"name":"r","host":"h","path_start":"/p/","type":"read_only",` +
				`"timeout_ms":1000,"target_ms":100,"rank":0,"service":"s","tries":2}`),
		},
		{
			Key:   "service/s",
			Index: 4,
			Value: []byte(ordinal + `{"name":"s","health_path":"/health",` +
				`"max_conns":4,"cold_for_s":0,"cold_rate_s":0}`),
		},
		{Key: "version", Index: 5, Value: []byte("7")},
	}
}

// updateOfItems returns the update that a proxy gets of configurationItems and a runner.
func updateOfItems(runner discovery.Runner) Update {
	return Update{
		Version:    7,
		Complete:   true,
		ProxyCount: 3,
		Peers:      &[]feed.Peer{{Node: "edge-2"}},
		Routes: []*configuration.Route{{
			Name:          "r",
			Host:          "h",
			PathPrefix:    "/p/",
			Timeout:       time.Second,
			LatencyTarget: 100 * time.Millisecond,
			MaxAttempts:   2,
			Shares:        []configuration.Share{{Service: "s", Weight: 1}},
		}},
		Services: &[]*configuration.Service{{Name: "s", HealthPath: "/health", MaxConnections: 4}},
		Limits: &configuration.Limits{
			MaxHeaderBytes: 1,
			MaxBodyBytes:   2,
			HeaderTimeout:  3 * time.Millisecond,
			IdleTimeout:    4 * time.Millisecond,
		},
		EvacuatedZones: &map[string]bool{"east-a": true},
		Runners:        &[]Runner{{Runner: runner}},
	}
}

// TestReadFeedItems checks how each key of the feed is decoded. Package compatibility records calls and values.
func TestReadFeedItems(t *testing.T) {
	if followMethod.Name() != "Feed.Follow" || reportMethod.Name() != "Proxy.Report" {
		t.Errorf("the calls are named %s and %s", followMethod.Name(), reportMethod.Name())
	}
	runner := discovery.Runner{
		ID:       "r-1",
		Service:  "s",
		Address:  netip.MustParseAddrPort("10.0.0.1:80"),
		Capacity: 3,
	}
	partition := feed.PartitionOf("s", feed.RunnerPartitionCount)
	if partition != 2 {
		t.Errorf("the service is in partition %d", partition)
	}
	s := newFeedState(feed.RunnerPartitionCount)
	got := s.apply(&feed.FollowReply{
		Proxies:     3,
		PeersDigest: 9,
		Peers:       []feed.Peer{{Node: "edge-2"}},
		Batches: []feed.Batch{
			{Partition: 0, Snapshot: true, To: 5, Items: configurationItems()},
			{
				Partition: partition,
				Snapshot:  true,
				To:        1,
				Items: []feed.Item{
					{Key: "runner/r-1", Index: 1, Value: discovery.EncodeRunner(runner)},
				},
			},
		},
	})
	s.fillSets(&got)
	if d := cmp.Diff(updateOfItems(runner), got, cmpopts.EquateComparable(netip.Addr{}, netip.AddrPort{})); d != "" {
		t.Error(d)
	}
	if len(s.problems) > 0 {
		t.Error(s.problems)
	}
}
