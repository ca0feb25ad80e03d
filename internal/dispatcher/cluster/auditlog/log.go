// Package auditlog records what a dispatcher learned, when and from whom, and audits the logs of many dispatchers
// together with their request logs.
//
// Log is open for writing in a dispatcher. Each answer and each attempt in the request log carries a mark: the number
// of the last entry that was in force when it was decided. Auditor reads the logs of many dispatchers, corrects their
// clocks against each other, and reports when each learned which version of the list, who was late and why, and which
// attempts broke a rule.
//
// The names of the JSON fields and the kinds of entries are a stored format: they must not change.
package auditlog

import (
	"encoding/json"
	"strconv"

	"cinderroad/internal/dispatcher/linelog"
)

// The kinds of entries.
const (
	Started           = "start"    // the process started, with this program, these settings and this operator's file
	ListApplied       = "list"     // the own discovery sent a version; workers that change to or from ready
	FactsReceived     = "told"     // a member sent facts of workers
	CaughtUp          = "knows"    // a member has sent all facts up to a version
	NewerKnown        = "behind"   // a member knows a newer version, which was not known here
	FactsDoubted      = "doubt"    // a member's facts are no longer used
	DiscoverySilent   = "mute"     // the own discovery became silent
	DiscoveryResumed  = "speaks"   // the own discovery replies again
	ClockReceived     = "clock"    // a member's clock when it sent its message
	OrderReceived     = "order"    // an order excludes or readmits a member
	LeaseChanged      = "lease"    // the lease began or ended to allow new work
	Paused            = "slept"    // the process was paused
	Resumed           = "looked"   // what it knew has been confirmed again since
	SettingsChanged   = "settings" // other settings or another operator's file are in force
	ExclusionsChanged = "excluded" // other workers are excluded by hand
	ViewConverged     = "view"     // the membership's view has converged
	KeepAlive         = "still"    // no other entry for KeepAliveInterval
	Ended             = "end"      // the process ended in order
)

var kinds = map[string]bool{
	Started:           true,
	ListApplied:       true,
	FactsReceived:     true,
	CaughtUp:          true,
	NewerKnown:        true,
	FactsDoubted:      true,
	DiscoverySilent:   true,
	DiscoveryResumed:  true,
	ClockReceived:     true,
	OrderReceived:     true,
	LeaseChanged:      true,
	Paused:            true,
	Resumed:           true,
	SettingsChanged:   true,
	ExclusionsChanged: true,
	ViewConverged:     true,
	KeepAlive:         true,
	Ended:             true,
}

// Worker is what an entry tells of a worker.
type Worker struct {
	Name     string `json:"name"`
	State    string `json:"state"` // ready, draining or gone
	Start    int64  `json:"start,omitempty"`
	Revision int64  `json:"rev,omitempty"` // if it is not the entry's
}

// Entry is a line of the log. Which fields count depends on Kind.
type Entry struct {
	Time       float64 `json:"time"` // Unix time, by the dispatcher's clock
	Dispatcher string  `json:"by"`   // that wrote it
	Generation string  `json:"life"` // of its process; see GenerationName
	Number     uint64  `json:"n"`    // 1, 2 and so on within a generation
	Kind       string  `json:"what"`

	From           string   `json:"from,omitempty"`   // the member that sent it, or issued the order; empty: the own discovery, or none
	Source         string   `json:"source,omitempty"` // of the list; with Epoch and Revision its version
	Epoch          uint64   `json:"descent,omitempty"`
	Revision       int64    `json:"rev,omitempty"`
	Cached         bool     `json:"cached,omitempty"` // the list was read from disk
	Workers        []Worker `json:"workers,omitempty"`
	OmittedWorkers int      `json:"more,omitempty"`   // number of workers beyond maxWorkers
	PeerClock      float64  `json:"theirs,omitempty"` // the member's clock, Unix time
	Member         string   `json:"member,omitempty"` // that an order names
	Out            bool     `json:"out,omitempty"`    // OrderReceived: the member is excluded; LeaseChanged: no new work is allowed
	Reason         string   `json:"why,omitempty"`    // of the lease
	// LateSeconds is how long the process was paused (Paused), discovery was silent so far (DiscoverySilent), or the view took
	// to converge (ViewConverged).
	LateSeconds float64 `json:"late_s,omitempty"`
	Program     string  `json:"program,omitempty"`  // version, of Started
	Settings    string  `json:"settings,omitempty"` // hash
	Operator    string  `json:"operator,omitempty"` // hash of the operator's file
	Digest      string  `json:"digest,omitempty"`   // of the view, or of the excluded workers
	Members     int     `json:"members,omitempty"`  // ViewConverged: members alive; ExclusionsChanged: excluded workers
	LostLines   uint64  `json:"lost,omitempty"`     // lines of this log and of the request log that were lost so far
}

const (
	maxWorkers = 512 // in an entry
	// KeepAliveInterval is the time without an entry after which a KeepAlive is due, in seconds.
	KeepAliveInterval = 30.0
)

// Log is a dispatcher's audit log, open for writing. It is not safe for concurrent use.
type Log struct {
	log        *linelog.Log
	dispatcher string
	generation string
	number     uint64
	lastAppend float64
}

// Open opens the log of a generation of a dispatcher.
func Open(options linelog.Options, dispatcher, generation string) (*Log, error) {
	options.Name = "ledger"
	log, err := linelog.Open(options)
	if err != nil {
		return nil, err
	}
	return &Log{log: log, dispatcher: dispatcher, generation: generation}, nil
}

// The name of a generation is its start in microseconds of Unix time, as a number of this base.
const (
	generationsPerSecond = 1e6
	generationNameBase   = 36
)

// GenerationName names a run of a process by its start, in Unix time.
func GenerationName(started float64) string {
	return strconv.FormatUint(uint64(started*generationsPerSecond), generationNameBase)
}

// Append writes an entry and returns its number, which is the mark of what is decided from now on.
func (l *Log) Append(now float64, entry Entry) uint64 {
	l.number++
	l.lastAppend = now
	entry.Time = now
	entry.Dispatcher = l.dispatcher
	entry.Generation = l.generation
	entry.Number = l.number
	if len(entry.Workers) > maxWorkers {
		entry.OmittedWorkers = len(entry.Workers) - maxWorkers
		entry.Workers = entry.Workers[:maxWorkers]
	}
	text, err := json.Marshal(&entry)
	if err == nil { // numbers and strings: it cannot fail
		l.log.EndLine(append(append(l.log.BeginLine(), text...), '\n'))
	}
	return l.number
}

// ContinueAfter sets the number of the last entry, if an earlier file of the same generation has it.
func (l *Log) ContinueAfter(number uint64) { l.number = number }

// KeepAliveDue reports whether a KeepAlive is due.
func (l *Log) KeepAliveDue(now float64) bool { return now >= l.lastAppend+KeepAliveInterval }

// LostLines returns how many lines did not get to the disk.
func (l *Log) LostLines() uint64 { return l.log.DroppedLines() + l.log.FailedLines() }

// Flush hands the pending lines to the writer.
func (l *Log) Flush() { l.log.Flush() }

// Close writes all lines and closes the file. It waits for the disk.
func (l *Log) Close() { l.log.Close() }
