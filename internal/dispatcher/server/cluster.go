package server

import (
	"go.uber.org/zap"

	"cinderroad/internal/dispatcher/cluster"
	"cinderroad/internal/dispatcher/cluster/auditlog"
	"cinderroad/internal/dispatcher/cluster/quota"
	"cinderroad/internal/shared/eventloop"
	"cinderroad/loadbalancer"
)

// metadataInterval is the time between two updates of what this dispatcher publishes of itself, in seconds.
const metadataInterval = 0.1

// startCluster joins the cluster that the operator's file configures, if any.
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

// joinCluster becomes a member by way of socket, which the cluster owns from now on. auditLog is a log to replace the one that
// is open, nil to keep that.
func (s *Server) joinCluster(options *cluster.Options, socket *eventloop.UDPSocket, auditLog *auditlog.Log) {
	s.startVersionTable()
	options.Versions = s.versionTable
	options.OnPause = s.handlePause
	options.OnLease = s.handleLeaseChange
	options.OnConverged = s.handleConvergence
	options.Metadata.Serving = s.servingState()
	options.Metadata.OperatorAt = uint32(s.loop.Now())
	s.metadata = options.Metadata
	s.installAuditLog(auditLog, s.config.Operator)
	s.cluster = cluster.Start(s.loop, s.log, *options, socket, s.setInstanceShare)
	if !s.publishesMetadata {
		s.publishesMetadata = true
		s.publishMetadata()
	}
}

// setInstanceShare applies the number of dispatchers and this one's share of cold workers.
func (s *Server) setInstanceShare(share quota.Share) {
	err := s.dispatcher.SetInstanceShare(loadbalancer.InstanceShare{
		Instances:    share.Instances,
		Instance:     share.Index,
		BudgetShare:  share.Fraction,
		InstanceKeys: share.Keys,
	})
	if err != nil {
		s.log.Error("balancer: instance share rejected, keeping the previous one", zap.Error(err))
		return
	}
	s.discovery.Instances = share.Instances
}

// servingState describes how this dispatcher serves, as other members and operators see it. The words are quoted in docs/.
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

// publishMetadata publishes how this dispatcher serves, and again every metadataInterval for as long as it is a member. One
// that is evacuated leaves the cluster when its last job has ended, and rejoins when the evacuation ends.
func (s *Server) publishMetadata() {
	if s.cluster == nil {
		s.publishesMetadata = false
		return
	}
	s.metadata.Serving = s.servingState()
	if hash := s.exclusionsHash(); hash != s.metadata.ExcludedHash {
		s.metadata.ExcludedHash = hash
		s.metadata.ExcludedAt = uint32(s.loop.Now())
		s.recordAudit(auditlog.Entry{Kind: auditlog.ExclusionsChanged, Digest: hash, Members: len(s.dispatcher.Exclusions())})
	}
	s.cluster.SetMetadata(s.metadata)
	s.flushAuditLog()
	s.followEvacuation()
	s.loop.At(s.loop.Now()+metadataInterval, s.publishMetadata)
}

// followEvacuation leaves the cluster once an evacuated dispatcher has no work left, and rejoins it after the evacuation.
func (s *Server) followEvacuation() {
	evacuated := s.front.EvacuatedSince() > 0
	counts := s.dispatcher.Counts()
	idle := counts.OpenRequests == 0 && counts.OpenAttempts == 0
	switch {
	case evacuated && idle && !s.leftCluster:
		s.leftCluster = true
		s.cluster.Leave()
	case !evacuated && s.leftCluster:
		s.leftCluster = false
		s.cluster.Rejoin()
	}
}

// leaveCluster announces that this dispatcher has stopped. Call it when no job is pending any more.
func (s *Server) leaveCluster() {
	if s.cluster != nil {
		s.cluster.Close()
		s.cluster = nil
	}
}

// yieldCluster leaves the member's name to the successor.
func (s *Server) yieldCluster() {
	if s.cluster != nil {
		s.cluster.Yield()
	}
}

// resumeCluster takes the member's name back after yieldCluster, when the successor is lost.
func (s *Server) resumeCluster() {
	if s.cluster != nil {
		s.cluster.Resume()
	}
}
