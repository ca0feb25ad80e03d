package server

import (
	"cinderroad/internal/dispatcher/cluster"
	"cinderroad/internal/dispatcher/cluster/auditlog"
	"cinderroad/internal/dispatcher/cluster/quota"
	"cinderroad/internal/shared/eventloop"
)

// clusterReload is a checked change of the cluster's configuration with the resources that it needs. It ends in applyClusterReload
// or in close. A nil *clusterReload can be closed.
type clusterReload struct {
	options  *cluster.Options     // nil: no cluster
	socket   *eventloop.UDPSocket // nil: the address is bound already
	auditLog *auditlog.Log        // nil: as before, or none
}

// prepareClusterReload checks the cluster section of a new configuration and opens what is new in it. Nothing changes before
// applyClusterReload.
func (s *Server) prepareClusterReload(next *Config) (*clusterReload, error) {
	running := *next
	running.Name = s.config.Name // neither this nor the balancer's settings can be changed by a reload
	running.balancerSettings = s.config.balancerSettings
	options, err := running.clusterOptions()
	if err != nil || options == nil {
		return &clusterReload{}, err
	}
	change := &clusterReload{options: options}
	if change.auditLog, err = s.openAuditLog(next.Operator); err != nil {
		return nil, err
	}
	if s.cluster == nil || !s.cluster.SameBind(options) {
		if change.socket, err = cluster.Bind(s.loop, options.Bind); err != nil {
			change.close()
			return nil, err
		}
	}
	return change, nil
}

// close releases what was opened for a reload that is rejected.
func (c *clusterReload) close() {
	if c != nil && c.socket != nil {
		c.socket.Close()
	}
	if c != nil && c.auditLog != nil {
		c.auditLog.Close()
	}
}

// applyClusterReload joins the cluster, leaves it, updates its options or joins it anew under another identity.
func (s *Server) applyClusterReload(change *clusterReload) {
	options := change.options
	switch {
	case s.upgrade.successorServes(): // the member's name is the successor's, which reads the files itself
		change.close()
	case options == nil && s.cluster == nil:
	case options == nil:
		s.leaveCluster()
		s.closeAuditLogInBackground()
		s.stopVersionTable()
		s.setInstanceShare(quota.Share{
			Instances: s.config.balancerSettings.Instances,
			Index:     s.config.balancerSettings.Instance,
			Fraction:  1,
		})
		s.log.Info("membership: disabled, using the configured instance shares")
	case s.cluster == nil:
		s.joinCluster(options, change.socket, change.auditLog)
	case s.cluster.SameIdentity(options):
		s.updateClusterOptions(options, change.auditLog)
	default:
		s.rejoinCluster(change)
	}
}

// updateClusterOptions applies options that leave this member's identity as it is. auditLog is as for joinCluster.
func (s *Server) updateClusterOptions(options *cluster.Options, auditLog *auditlog.Log) {
	s.cluster.UpdateOptions(*options)
	before, after := s.metadata, options.Metadata
	after.ExcludedHash = before.ExcludedHash
	after.ExcludedAt = before.ExcludedAt
	after.OperatorAt = before.OperatorAt
	if after.OperatorHash != before.OperatorHash {
		after.OperatorAt = uint32(s.loop.Now())
	}
	s.metadata = after
	s.installAuditLog(auditLog, s.config.Operator)
	if after.SettingsHash != before.SettingsHash || after.OperatorHash != before.OperatorHash {
		s.recordAudit(auditlog.Entry{
			Kind:     auditlog.SettingsChanged,
			Settings: after.SettingsHash,
			Operator: after.OperatorHash,
		})
	}
}

// rejoinCluster joins the cluster anew under another identity, by way of the socket that is bound already if it may stay.
func (s *Server) rejoinCluster(change *clusterReload) {
	socket := s.cluster.Release()
	if !s.cluster.SameBind(change.options) {
		if socket != nil {
			socket.Close()
		}
		socket = change.socket
	}
	s.joinCluster(change.options, socket, change.auditLog)
}
