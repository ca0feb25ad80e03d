package server

import (
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"cinderroad/internal/dispatcher/cluster"
	"cinderroad/internal/dispatcher/cluster/quota"
	"cinderroad/internal/shared/membership"
	"cinderroad/internal/shared/release"
)

const maxZoneLength = 48 // bytes

// clusterOptions returns the options of the cluster that the files configure, nil if they configure none.
func (c *Config) clusterOptions() (*cluster.Options, error) {
	fleet := c.Operator.Cluster
	if fleet == nil {
		return nil, nil
	}
	if c.Name == "" || len(c.Name) > membership.MaxNameLength {
		err := fmt.Errorf("%q: a member of a cluster needs a name of 1 to %d bytes", c.Name, membership.MaxNameLength)
		return nil, c.keyError("name", err)
	}
	zone := ""
	if index := c.balancerSettings.Zone; index < len(c.dispatcherSettings.FailureDomains) {
		zone = c.dispatcherSettings.FailureDomains[index]
	}
	return &cluster.Options{
		Cluster:       fleet.Name,
		Name:          c.Name,
		Bind:          fleet.ParsedBind,
		Advertise:     fleet.ParsedAdvertise,
		Seeds:         fleet.ParsedSeeds,
		ProbeInterval: fleet.ProbeIntervalSeconds,
		DeadTTL:       fleet.RetentionSeconds,
		LeaseTerm:     fleet.LeaseSeconds,
		RandomSeed:    c.seed,
		Metadata: membership.Metadata{
			Zone:         zone[:min(len(zone), maxZoneLength)],
			Version:      release.Name(),
			Console:      c.Console,
			SettingsHash: shortHash(sharedSettings(c.Settings)),
			OperatorHash: shortHash([]byte(c.Operator.Common())),
		},
		Quota: quota.Config{
			Instances:     c.balancerSettings.Instances,
			Index:         c.balancerSettings.Instance,
			ProbeInterval: fleet.ProbeIntervalSeconds,
			LoadDecay:     c.balancerSettings.OverloadWindow,
			AllMembers:    *fleet.Complete,
		},
	}, nil
}

// sharedSettings returns the settings in canonical form without what differs from member to member, so that members that
// are configured alike have the same hash.
func sharedSettings(settings json.RawMessage) []byte {
	var all map[string]json.RawMessage
	if json.Unmarshal(settings, &all) != nil {
		return settings
	}
	delete(all, "me")
	delete(all, "zone")
	out, err := json.Marshal(all)
	if err != nil {
		return settings
	}
	return canonical(out)
}

// shortHash identifies a text for operators to compare; it is no protection against intent.
func shortHash(text []byte) string { return fmt.Sprintf("%08x", uint32(xxhash.Sum64(text))) }

// canonical returns a JSON text with its keys sorted and without spaces; a text that is no JSON unchanged.
func canonical(text json.RawMessage) []byte {
	var v any
	if json.Unmarshal(text, &v) != nil {
		return text
	}
	out, _ := json.Marshal(v)
	return out
}
