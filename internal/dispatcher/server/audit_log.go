package server

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"go.uber.org/zap"

	"cinderroad/internal/dispatcher/cluster"
	"cinderroad/internal/dispatcher/cluster/auditlog"
	"cinderroad/internal/dispatcher/cluster/versions"
	"cinderroad/internal/dispatcher/linelog"
	"cinderroad/internal/dispatcher/operatorconfig"
)

// auditLogOptions is where the ledger stands and how large it may be; an empty path is none.
func auditLogOptions(file *operatorconfig.Config) linelog.Options {
	if file.Cluster == nil || file.Cluster.AuditLogPath == "" {
		return linelog.Options{}
	}
	options := linelog.Options{Path: file.Cluster.AuditLogPath, MaxBytes: operatorconfig.DefaultLogBytes, KeepFiles: operatorconfig.DefaultLogKeepFiles}
	if l := file.RequestLog; l != nil {
		options.MaxBytes, options.KeepFiles = l.MaxBytes, *l.KeepFiles
	}
	return options
}

func sameLogFile(x, y linelog.Options) bool {
	return x.Path == y.Path && x.MaxBytes == y.MaxBytes && x.KeepFiles == y.KeepFiles
}

// openAuditLog opens the ledger that an operator's file names, where it is another than the one at hand; nil: it is that one, or none.
func (s *Server) openAuditLog(file *operatorconfig.Config) (*auditlog.Log, error) {
	options := auditLogOptions(file)
	if options.Path == "" || s.auditLog != nil && sameLogFile(options, s.auditLogFile) {
		return nil, nil
	}
	options.Report = func(err error) { s.log.Warn("fleet: ledger", zap.Error(err)) }
	opened, err := auditlog.Open(options, s.config.Name, auditlog.GenerationName(s.startedAt))
	if err != nil {
		return nil, fmt.Errorf("operator's file: fleet.ledger: %w", err)
	}
	return opened, nil
}

// installAuditLog puts a ledger in force in place of the one before. It goes on with the old one's numbers, and begins with all that is
// held.
func (s *Server) installAuditLog(next *auditlog.Log, file *operatorconfig.Config) {
	options := auditLogOptions(file)
	if next == nil && s.auditLog != nil && sameLogFile(options, s.auditLogFile) {
		return
	}
	s.closeAuditLog(true)
	if s.auditLogFile = options; next == nil {
		return
	}
	s.auditLog = next
	next.ContinueAfter(s.auditSequence)
	s.recordAudit(auditlog.Entry{Kind: auditlog.Started, Program: version(), Settings: s.metadata.SettingsHash, Operator: s.metadata.OperatorHash})
	if list, has := s.versionTable.Version(); has {
		s.recordAudit(versionEntry(&versions.Event{Kind: versions.ListApplied, Version: list, Cached: true, Facts: s.versionTable.NotReady()}))
	}
}

// closeAuditLog ends the ledger; off the loop, where that goes on.
func (s *Server) closeAuditLog(inBackground bool) {
	if s.auditLog == nil {
		return
	}
	s.recordAudit(auditlog.Entry{Kind: auditlog.Ended})
	closing := s.auditLog
	s.auditLog, s.dispatcher.AuditMark = nil, 0
	if inBackground {
		go closing.Close()
	} else {
		closing.Close()
	}
}

// recordAudit writes an entry: what is decided from now on carries its number.
func (s *Server) recordAudit(entry auditlog.Entry) {
	if s.auditLog != nil {
		entry.LostLines = s.auditLog.LostLines() + s.reporting.lostLogLines()
		s.auditSequence = s.auditLog.Append(s.loop.Now(), entry)
		s.dispatcher.AuditMark = s.auditSequence
	}
}

// lostLogLines is how many lines of the request log did not get to the disk.
func (r *reporting) lostLogLines() uint64 {
	if r == nil || r.requestLog == nil {
		return 0
	}
	return r.requestLog.DroppedLines() + r.requestLog.FailedLines()
}

// flushAuditLog hands lines to the writer, and says that the ledger goes on where nothing else does.
func (s *Server) flushAuditLog() {
	if s.auditLog == nil {
		return
	}
	if s.auditLog.KeepAliveDue(s.loop.Now()) {
		s.recordAudit(auditlog.Entry{Kind: auditlog.KeepAlive})
	}
	s.auditLog.Flush()
}

// exclusionsHash is a mark of who is out by hand; empty: nobody.
func (s *Server) exclusionsHash() string {
	out := s.dispatcher.Exclusions()
	if len(out) == 0 {
		return ""
	}
	return shortHash([]byte(strings.Join(slices.Sorted(maps.Keys(out)), "\x00")))
}

var auditKinds = map[versions.EventKind]string{versions.ListApplied: auditlog.ListApplied, versions.FactsReceived: auditlog.FactsReceived, versions.CaughtUp: auditlog.CaughtUp,
	versions.NewerVersionKnown: auditlog.NewerKnown, versions.FactDoubted: auditlog.FactsDoubted, versions.DiscoverySilent: auditlog.DiscoverySilent, versions.DiscoveryResumed: auditlog.DiscoveryResumed,
	versions.ClockReceived: auditlog.ClockReceived}

// handleVersionEvent keeps what the board took up.
func (s *Server) handleVersionEvent(_ float64, event *versions.Event) {
	s.recordAudit(versionEntry(event))
}

func versionEntry(event *versions.Event) auditlog.Entry {
	entry := auditlog.Entry{Kind: auditKinds[event.Kind], From: event.From, Source: event.Version.Source, Epoch: event.Version.Epoch, Revision: event.Version.Revision, Cached: event.Cached,
		LateSeconds: event.SilentFor, PeerClock: event.PeerClock}
	for _, fact := range event.Facts {
		worker := auditlog.Worker{Name: fact.Worker, State: fact.State.String(), Start: fact.Start}
		if fact.Revision != event.Version.Revision {
			worker.Revision = fact.Revision
		}
		entry.Workers = append(entry.Workers, worker)
	}
	return entry
}

// handleConvergence keeps that the fleet's view has settled.
func (s *Server) handleConvergence(convergence cluster.Convergence) {
	s.recordAudit(auditlog.Entry{Kind: auditlog.ViewConverged, Digest: convergence.Digest, Members: convergence.Alive, LateSeconds: convergence.After})
}
