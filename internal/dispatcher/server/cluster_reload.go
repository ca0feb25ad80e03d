package server

import (
	"cinderroad/internal/dispatcher/cluster"
	"cinderroad/internal/dispatcher/cluster/auditlog"
	"cinderroad/internal/dispatcher/cluster/quota"
	"cinderroad/internal/shared/eventloop"
)

// clusterReload is what a reload would change of the fleet.
type clusterReload struct {
	options  *cluster.Options
	socket   *eventloop.UDPSocket // a new address'
	auditLog *auditlog.Log        // a new ledger
}

// prepareClusterReload checks what a reload says of the fleet and opens an address that is new; nothing changes before applyClusterReload.
func (s *Server) prepareClusterReload(next *Config) (*clusterReload, error) {
	running := *next
	running.Name, running.balancerSettings = s.config.Name, s.config.balancerSettings // what needs a restart
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

// close closes what was opened for a reload that is refused.
func (r *clusterReload) close() {
	if r != nil && r.socket != nil {
		r.socket.Close()
	}
	if r != nil && r.auditLog != nil {
		r.auditLog.Close()
	}
}

// applyClusterReload carries a reload's change out: the fleet is joined, left, or joined anew.
func (s *Server) applyClusterReload(change *clusterReload) {
	options := change.options
	switch {
	case s.upgrade.successorServes(): // the name is the next process's, which reads the files itself
		change.close()
	case options == nil && s.cluster == nil:
	case options == nil:
		s.leaveCluster()
		s.closeAuditLog(true)
		s.stopVersionTable()
		s.setInstanceShare(quota.Share{Instances: s.config.balancerSettings.Instances, Index: s.config.balancerSettings.Instance, Fraction: 1})
		s.log.Info("program: fleet switched off; places are as configured")
	case s.cluster == nil:
		s.joinCluster(options, change.socket, change.auditLog)
	case s.cluster.SameIdentity(options):
		s.cluster.UpdateOptions(*options)
		changed := options.Metadata.SettingsHash != s.metadata.SettingsHash || options.Metadata.OperatorHash != s.metadata.OperatorHash
		options.Metadata.ExcludedHash, options.Metadata.ExcludedAt = s.metadata.ExcludedHash, s.metadata.ExcludedAt
		if options.Metadata.OperatorAt = uint32(s.loop.Now()); options.Metadata.OperatorHash == s.metadata.OperatorHash {
			options.Metadata.OperatorAt = s.metadata.OperatorAt
		}
		s.metadata = options.Metadata
		s.installAuditLog(change.auditLog, s.config.Operator)
		if changed {
			s.recordAudit(auditlog.Entry{Kind: auditlog.SettingsChanged, Settings: options.Metadata.SettingsHash, Operator: options.Metadata.OperatorHash})
		}
	default:
		socket := s.cluster.Release()
		if !s.cluster.SameBind(options) {
			if socket != nil {
				socket.Close()
			}
			socket = change.socket
		}
		s.joinCluster(options, socket, change.auditLog)
	}
}
