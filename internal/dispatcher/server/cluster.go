package server

import (
	"encoding/json"
	"fmt"
	"runtime/debug"
	"sync"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"cinderroad/internal/dispatcher/cluster"
	"cinderroad/internal/dispatcher/cluster/auditlog"
	"cinderroad/internal/dispatcher/cluster/quota"
	"cinderroad/internal/shared/eventloop"
	"cinderroad/internal/shared/membership"
	"cinderroad/loadbalancer"
)

// metadataInterval is how often what is told of this dispatcher is looked at, in seconds.
const metadataInterval = 0.1

// version is the program's, short: what the fleet shows of each member.
var version = sync.OnceValue(func() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	version := info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" && len(s.Value) >= 12 {
			version = s.Value[:12]
		}
	}
	return version[:min(len(version), 40)]
})

// clusterOptions are what the files say of the fleet; nil is none.
func (c *Config) clusterOptions() (*cluster.Options, error) {
	fleet := c.Operator.Cluster
	if fleet == nil {
		return nil, nil
	}
	if c.Name == "" || len(c.Name) > membership.MaxNameLength {
		return nil, fmt.Errorf("config: name: %q: a member of a fleet needs one of 1 to %d bytes", c.Name, membership.MaxNameLength)
	}
	zone := ""
	if z := c.balancerSettings.Zone; z < len(c.dispatcherSettings.FailureDomains) {
		zone = c.dispatcherSettings.FailureDomains[z]
	}
	return &cluster.Options{Cluster: fleet.Name, Name: c.Name, Bind: fleet.ParsedBind, Advertise: fleet.ParsedAdvertise, Seeds: fleet.ParsedSeeds,
		ProbeInterval: fleet.ProbeIntervalSeconds, DeadTTL: fleet.RetentionSeconds, LeaseTerm: fleet.LeaseSeconds, RandomSeed: c.seed, Metadata: membership.Metadata{Zone: zone[:min(len(zone), 48)], Version: version(), Console: c.Console,
			SettingsHash: shortHash(sharedSettings(c.Settings)), OperatorHash: shortHash([]byte(c.Operator.Common()))},
		Quota: quota.Config{Instances: c.balancerSettings.Instances, Index: c.balancerSettings.Instance, ProbeInterval: fleet.ProbeIntervalSeconds, LoadDecay: c.balancerSettings.OverloadWindow, AllMembers: *fleet.Complete}}, nil
}

// startCluster has this dispatcher be a member, where the operator's file says so.
func (s *Server) startCluster() error {
	options, err := s.config.clusterOptions()
	if err != nil || options == nil {
		return err
	}
	socket, err := cluster.Bind(s.loop, options.Bind)
	if err != nil {
		return err
	}
	auditLog, err := s.openAuditLog(s.config.Operator)
	if err != nil {
		return err
	}
	s.joinCluster(options, socket, auditLog)
	return nil
}

func (s *Server) joinCluster(options *cluster.Options, socket *eventloop.UDPSocket, auditLog *auditlog.Log) {
	s.startVersionTable()
	options.Versions, options.OnPause, options.OnLease, options.OnConverged = s.versionTable, s.handlePause, s.handleLeaseChange, s.handleConvergence
	options.Metadata.Serving, options.Metadata.OperatorAt = s.servingState(), uint32(s.loop.Now())
	s.metadata = options.Metadata
	s.installAuditLog(auditLog, s.config.Operator)
	s.cluster = cluster.Start(s.loop, s.log, *options, socket, s.setInstanceShare)
	if !s.publishesMetadata {
		s.publishesMetadata = true
		s.publishMetadata()
	}
}

// sharedSettings is what settings say but for the member's own place, so that members that are set alike show it.
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

// shortHash is a short mark of a text.
func shortHash(text []byte) string { return fmt.Sprintf("%08x", uint32(xxhash.Sum64(text))) }

// setInstanceShare has all who count the dispatchers know their number.
func (s *Server) setInstanceShare(share quota.Share) {
	if err := s.dispatcher.SetInstanceShare(loadbalancer.InstanceShare{Instances: share.Instances, Instance: share.Index, BudgetShare: share.Fraction, InstanceKeys: share.Keys}); err != nil {
		s.log.Error("program: place not taken", zap.Error(err))
		return
	}
	s.discovery.Instances = share.Instances
}

// servingState is how this dispatcher serves, for the others to see.
func (s *Server) servingState() string {
	switch {
	case s.stopping || s.upgrade != nil && s.upgrade.successorServes():
		return "stopping"
	case !s.serving:
		return "starting"
	case s.front.EvacuatedSince() > 0:
		return "evacuated"
	case s.leaseExpired():
		return "out of lease"
	}
	return "serving"
}

// publishMetadata has the fleet know how this dispatcher serves. One that is evacuated leaves once it has nothing out any more,
// and joins again when it is called back.
func (s *Server) publishMetadata() {
	if s.cluster == nil {
		s.publishesMetadata = false
		return
	}
	s.metadata.Serving = s.servingState()
	if out := s.exclusionsHash(); out != s.metadata.ExcludedHash {
		s.metadata.ExcludedHash, s.metadata.ExcludedAt = out, uint32(s.loop.Now())
		s.recordAudit(auditlog.Entry{Kind: auditlog.ExclusionsChanged, Digest: out, Members: len(s.dispatcher.Exclusions())})
	}
	s.cluster.SetMetadata(s.metadata)
	s.flushAuditLog()
	if out := s.dispatcher.Counts(); s.front.EvacuatedSince() > 0 && out.OpenRequests == 0 && out.OpenAttempts == 0 {
		if !s.leftCluster {
			s.leftCluster = true
			s.cluster.Leave()
		}
	} else if s.leftCluster && s.front.EvacuatedSince() == 0 {
		s.leftCluster = false
		s.cluster.Rejoin()
	}
	s.loop.At(s.loop.Now()+metadataInterval, s.publishMetadata)
}

// leaveCluster says that this dispatcher has stopped: it is called when nothing is out any more.
func (s *Server) leaveCluster() {
	if s.cluster != nil {
		s.cluster.Close()
		s.cluster = nil
	}
}

// yieldCluster leaves the name to the process that takes this one's place; resumeCluster takes it back.
func (s *Server) yieldCluster() {
	if s.cluster != nil {
		s.cluster.Yield()
	}
}

func (s *Server) resumeCluster() {
	if s.cluster != nil {
		s.cluster.Resume()
	}
}
