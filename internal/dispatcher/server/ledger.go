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

// ledgerFile is where the ledger stands and how large it may be; an empty path is none.
func ledgerFile(f *operatorconfig.Config) linelog.Options {
	if f.Cluster == nil || f.Cluster.AuditLogPath == "" {
		return linelog.Options{}
	}
	o := linelog.Options{Path: f.Cluster.AuditLogPath, MaxBytes: operatorconfig.DefaultLogBytes, KeepFiles: operatorconfig.DefaultLogKeepFiles}
	if l := f.RequestLog; l != nil {
		o.MaxBytes, o.KeepFiles = l.MaxBytes, *l.KeepFiles
	}
	return o
}

func sameFile(x, y linelog.Options) bool {
	return x.Path == y.Path && x.MaxBytes == y.MaxBytes && x.KeepFiles == y.KeepFiles
}

// openLedger opens the ledger that an operator's file names, where it is another than the one at hand; nil: it is that one, or none.
func (p *Server) openLedger(f *operatorconfig.Config) (*auditlog.Log, error) {
	o := ledgerFile(f)
	if o.Path == "" || p.ledger != nil && sameFile(o, p.ledgerAt) {
		return nil, nil
	}
	o.Report = func(err error) { p.log.Warn("fleet: ledger", zap.Error(err)) }
	b, err := auditlog.Open(o, p.config.Name, auditlog.GenerationName(p.started))
	if err != nil {
		return nil, fmt.Errorf("operator's file: fleet.ledger: %w", err)
	}
	return b, nil
}

// keepLedger puts a ledger in force in place of the one before. It goes on with the old one's numbers, and begins with all that is
// held.
func (p *Server) keepLedger(b *auditlog.Log, f *operatorconfig.Config) {
	o := ledgerFile(f)
	if b == nil && p.ledger != nil && sameFile(o, p.ledgerAt) {
		return
	}
	p.closeLedger(true)
	if p.ledgerAt = o; b == nil {
		return
	}
	p.ledger = b
	b.ContinueAfter(p.marked)
	p.record(auditlog.Entry{Kind: auditlog.Started, Program: version(), Settings: p.facts.SettingsHash, Operator: p.facts.OperatorHash})
	if list, has := p.board.Version(); has {
		p.record(listEntry(&versions.Event{Kind: versions.ListApplied, Version: list, Cached: true, Facts: p.board.NotReady()}))
	}
}

// closeLedger ends the ledger; off the loop, where that goes on.
func (p *Server) closeLedger(goesOn bool) {
	if p.ledger == nil {
		return
	}
	p.record(auditlog.Entry{Kind: auditlog.Ended})
	b := p.ledger
	p.ledger, p.core.AuditMark = nil, 0
	if goesOn {
		go b.Close()
	} else {
		b.Close()
	}
}

// record writes an entry: what is decided from now on carries its number.
func (p *Server) record(e auditlog.Entry) {
	if p.ledger != nil {
		e.LostLines = p.ledger.LostLines() + p.reporting.lost()
		p.marked = p.ledger.Append(p.loop.Now(), e)
		p.core.AuditMark = p.marked
	}
}

// lost is how many lines of the request log did not get to the disk.
func (r *reporting) lost() uint64 {
	if r == nil || r.log == nil {
		return 0
	}
	return r.log.DroppedLines() + r.log.FailedLines()
}

// tendLedger hands lines to the writer, and says that the ledger goes on where nothing else does.
func (p *Server) tendLedger() {
	if p.ledger == nil {
		return
	}
	if p.ledger.KeepAliveDue(p.loop.Now()) {
		p.record(auditlog.Entry{Kind: auditlog.KeepAlive})
	}
	p.ledger.Flush()
}

// excluded is a mark of who is out by hand; empty: nobody.
func (p *Server) excluded() string {
	out := p.core.Exclusions()
	if len(out) == 0 {
		return ""
	}
	return hash([]byte(strings.Join(slices.Sorted(maps.Keys(out)), "\x00")))
}

var noteKinds = map[versions.EventKind]string{versions.ListApplied: auditlog.ListApplied, versions.FactsReceived: auditlog.FactsReceived, versions.CaughtUp: auditlog.CaughtUp,
	versions.NewerVersionKnown: auditlog.NewerKnown, versions.FactDoubted: auditlog.FactsDoubted, versions.DiscoverySilent: auditlog.DiscoverySilent, versions.DiscoveryResumed: auditlog.DiscoveryResumed,
	versions.ClockReceived: auditlog.ClockReceived}

// noted keeps what the board took up.
func (p *Server) noted(_ float64, n *versions.Event) { p.record(listEntry(n)) }

func listEntry(n *versions.Event) auditlog.Entry {
	e := auditlog.Entry{Kind: noteKinds[n.Kind], From: n.From, Source: n.Version.Source, Epoch: n.Version.Epoch, Revision: n.Version.Revision, Cached: n.Cached,
		LateSeconds: n.SilentFor, PeerClock: n.PeerClock}
	for _, f := range n.Facts {
		w := auditlog.Worker{Name: f.Worker, State: f.State.String(), Start: f.Start}
		if f.Revision != n.Version.Revision {
			w.Revision = f.Revision
		}
		e.Workers = append(e.Workers, w)
	}
	return e
}

// settled keeps that the fleet's view has settled.
func (p *Server) settled(v cluster.Convergence) {
	p.record(auditlog.Entry{Kind: auditlog.ViewConverged, Digest: v.Digest, Members: v.Alive, LateSeconds: v.After})
}
