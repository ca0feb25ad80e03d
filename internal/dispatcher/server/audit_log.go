package server

import (
	"fmt"

	"go.uber.org/zap"

	"cinderroad/internal/dispatcher/cluster"
	"cinderroad/internal/dispatcher/cluster/auditlog"
	"cinderroad/internal/dispatcher/cluster/versions"
	"cinderroad/internal/dispatcher/linelog"
	"cinderroad/internal/dispatcher/operatorconfig"
	"cinderroad/internal/shared/release"
)

// auditLogOptions returns path and bounds of the audit log that an operator's file configures; no path if it configures none.
func auditLogOptions(file *operatorconfig.Config) linelog.Options {
	if file.Cluster == nil || file.Cluster.AuditLogPath == "" {
		return linelog.Options{}
	}
	options := linelog.Options{
		Path:      file.Cluster.AuditLogPath,
		MaxBytes:  operatorconfig.DefaultLogBytes,
		KeepFiles: operatorconfig.DefaultLogKeepFiles,
	}
	if section := file.RequestLog; section != nil {
		options.MaxBytes = section.MaxBytes
		options.KeepFiles = *section.KeepFiles
	}
	return options
}

// sameLogFile reports whether two options are of one file with the same bounds; how errors are reported does not matter.
func sameLogFile(a, b linelog.Options) bool {
	return a.Path == b.Path && a.MaxBytes == b.MaxBytes && a.KeepFiles == b.KeepFiles
}

// openAuditLog opens the audit log that an operator's file configures. It returns nil if that is the one which is open
// already, or if none is configured.
func (s *Server) openAuditLog(file *operatorconfig.Config) (*auditlog.Log, error) {
	options := auditLogOptions(file)
	if options.Path == "" || s.auditLog != nil && sameLogFile(options, s.auditLogFile) {
		return nil, nil
	}
	options.Report = func(err error) { s.log.Warn("audit log: I/O error", zap.Error(err)) }
	opened, err := auditlog.Open(options, s.config.Name, auditlog.GenerationName(s.startedAt))
	if err != nil {
		return nil, fmt.Errorf("operator's file: fleet.ledger: %w", err)
	}
	return opened, nil
}

// installAuditLog replaces the audit log by next, as file configures it; a nil next keeps the open one if file names that, and
// closes it otherwise. The new log continues the sequence numbers, and begins with the state that is in force.
func (s *Server) installAuditLog(next *auditlog.Log, file *operatorconfig.Config) {
	options := auditLogOptions(file)
	if next == nil && s.auditLog != nil && sameLogFile(options, s.auditLogFile) {
		return
	}
	s.closeAuditLogInBackground()
	s.auditLogFile = options
	if next == nil {
		return
	}
	s.auditLog = next
	next.ContinueAfter(s.auditSequence)
	s.recordAudit(auditlog.Entry{
		Kind:     auditlog.Started,
		Program:  release.Name(),
		Settings: s.metadata.SettingsHash,
		Operator: s.metadata.OperatorHash,
	})
	if list, ok := s.versionTable.Version(); ok {
		s.recordAudit(versionEntry(&versions.Event{
			Kind:    versions.ListApplied,
			Version: list,
			Cached:  true,
			Facts:   s.versionTable.NotReady(),
		}))
	}
}

// closeAuditLog writes the last entry, closes the log and waits for the disk. Call it only when the loop has ended.
func (s *Server) closeAuditLog() {
	if closing := s.endAuditLog(); closing != nil {
		closing.Close()
	}
}

// closeAuditLogInBackground is closeAuditLog for while the loop runs, which must not wait for the disk. Nothing waits for
// the close.
func (s *Server) closeAuditLogInBackground() {
	if closing := s.endAuditLog(); closing != nil {
		go closing.Close()
	}
}

// endAuditLog appends the last entry and returns the log for the caller to close; nil if none is open.
func (s *Server) endAuditLog() *auditlog.Log {
	if s.auditLog == nil {
		return nil
	}
	s.recordAudit(auditlog.Entry{Kind: auditlog.Ended})
	ended := s.auditLog
	s.auditLog = nil
	s.dispatcher.AuditMark = 0
	return ended
}

// recordAudit appends an entry; decisions made from now on carry its sequence number. Without an audit log it does nothing.
func (s *Server) recordAudit(entry auditlog.Entry) {
	if s.auditLog != nil {
		entry.LostLines = s.auditLog.LostLines() + s.reporting.lostLogLines()
		s.auditSequence = s.auditLog.Append(s.loop.Now(), entry)
		s.dispatcher.AuditMark = s.auditSequence
	}
}

// lostLogLines counts the lines of the request log that did not reach the disk.
func (r *reporting) lostLogLines() uint64 {
	if r == nil || r.requestLog == nil {
		return 0
	}
	return r.requestLog.DroppedLines() + r.requestLog.FailedLines()
}

// flushAuditLog hands lines to the log's writer, and adds a keep-alive when one is due.
func (s *Server) flushAuditLog() {
	if s.auditLog == nil {
		return
	}
	if s.auditLog.KeepAliveDue(s.loop.Now()) {
		s.recordAudit(auditlog.Entry{Kind: auditlog.KeepAlive})
	}
	s.auditLog.Flush()
}

// auditKinds translates the kinds of the version table's events.
var auditKinds = map[versions.EventKind]string{
	versions.ListApplied:       auditlog.ListApplied,
	versions.FactsReceived:     auditlog.FactsReceived,
	versions.CaughtUp:          auditlog.CaughtUp,
	versions.NewerVersionKnown: auditlog.NewerKnown,
	versions.FactDoubted:       auditlog.FactsDoubted,
	versions.DiscoverySilent:   auditlog.DiscoverySilent,
	versions.DiscoveryResumed:  auditlog.DiscoveryResumed,
	versions.ClockReceived:     auditlog.ClockReceived,
}

// handleVersionEvent records an event of the version table.
func (s *Server) handleVersionEvent(_ float64, event *versions.Event) {
	s.recordAudit(versionEntry(event))
}

// versionEntry is the audit log's entry for an event of the version table.
func versionEntry(event *versions.Event) auditlog.Entry {
	entry := auditlog.Entry{
		Kind:        auditKinds[event.Kind],
		From:        event.From,
		Source:      event.Version.Source,
		Epoch:       event.Version.Epoch,
		Revision:    event.Version.Revision,
		Cached:      event.Cached,
		LateSeconds: event.SilentFor,
		PeerClock:   event.PeerClock,
	}
	for _, fact := range event.Facts {
		worker := auditlog.Worker{Name: fact.Worker, State: fact.State.String(), Start: fact.Start}
		if fact.Revision != event.Version.Revision {
			worker.Revision = fact.Revision
		}
		entry.Workers = append(entry.Workers, worker)
	}
	return entry
}

// handleConvergence records that the members' view has converged.
func (s *Server) handleConvergence(convergence cluster.Convergence) {
	s.recordAudit(auditlog.Entry{
		Kind:        auditlog.ViewConverged,
		Digest:      convergence.Digest,
		Members:     convergence.Alive,
		LateSeconds: convergence.After,
	})
}
