// Package ledger keeps what a dispatcher took up, when and from whom, beside its request log, and audits the ledgers and request
// logs of many. An answer and a send carry a mark: the number of the last entry that was in force when they were decided.
package auditlog

import (
	"encoding/json"
	"strconv"

	"cinderroad/internal/dispatcher/linelog"
)

// What an entry tells.
const (
	Started           = "start"    // a life begins, by this program, these settings and this operator's file
	ListApplied       = "list"     // the own discovery told a version; workers that it changes to or from ready
	FactsReceived     = "told"     // a member told what it knows of workers
	CaughtUp          = "knows"    // a member has told all that it knows up to a version
	NewerKnown        = "behind"   // a member knows of a newer version, for the first time
	FactsDoubted      = "doubt"    // what a member told of workers counts no more
	DiscoverySilent   = "mute"     // the own discovery says nothing
	DiscoveryResumed  = "speaks"   // and speaks again
	ClockReceived     = "clock"    // what a member's clock was, at most so long ago as its message took
	OrderReceived     = "order"    // a member is shut out, or brought back, by hand
	LeaseChanged      = "lease"    // may new work be taken
	Paused            = "slept"    // the process stood still
	Resumed           = "looked"   // and has looked again since
	SettingsChanged   = "settings" // other settings or another operator's file are in force
	ExclusionsChanged = "excluded" // other workers are out by hand
	ViewConverged     = "view"     // the fleet's view has settled
	KeepAlive         = "still"    // nothing else to tell, but the ledger goes on
	Ended             = "end"      // the life ends as it should
)

var kinds = map[string]bool{Started: true, ListApplied: true, FactsReceived: true, CaughtUp: true, NewerKnown: true, FactsDoubted: true, DiscoverySilent: true, DiscoveryResumed: true, ClockReceived: true,
	OrderReceived: true, LeaseChanged: true, Paused: true, Resumed: true, SettingsChanged: true, ExclusionsChanged: true, ViewConverged: true, KeepAlive: true, Ended: true}

// Worker is what an entry tells of one.
type Worker struct {
	Name     string `json:"name"`
	State    string `json:"state"` // ready, draining or gone
	Start    int64  `json:"start,omitempty"`
	Revision int64  `json:"rev,omitempty"` // where it is not the entry's
}

// Entry is one line.
type Entry struct {
	Time       float64 `json:"time"` // Unix time, by the dispatcher's clock
	Dispatcher string  `json:"by"`
	Generation string  `json:"life"` // of its process
	Number     uint64  `json:"n"`    // 1, 2 and so on within a life
	Kind       string  `json:"what"`

	From           string   `json:"from,omitempty"` // the member that told it; empty: the own discovery, or nobody
	Source         string   `json:"source,omitempty"`
	Epoch          uint64   `json:"descent,omitempty"`
	Revision       int64    `json:"rev,omitempty"`
	Cached         bool     `json:"cached,omitempty"` // the list is of an earlier life
	Workers        []Worker `json:"workers,omitempty"`
	OmittedWorkers int      `json:"more,omitempty"`   // workers that found no room in the line
	PeerClock      float64  `json:"theirs,omitempty"` // the other one's clock
	Member         string   `json:"member,omitempty"`
	Out            bool     `json:"out,omitempty"`
	Reason         string   `json:"why,omitempty"`
	LateSeconds    float64  `json:"late_s,omitempty"`
	Program        string   `json:"program,omitempty"`
	Settings       string   `json:"settings,omitempty"`
	Operator       string   `json:"operator,omitempty"`
	Digest         string   `json:"digest,omitempty"` // of the view, or of what is excluded
	Members        int      `json:"members,omitempty"`
	LostLines      uint64   `json:"lost,omitempty"` // lines of ledger and request log that were lost so far
}

const (
	maxWorkers = 512 // in a line
	// KeepAliveInterval is how long a ledger says nothing before it says that it goes on, in seconds.
	KeepAliveInterval = 30.0
)

// Log is a dispatcher's ledger, open for writing. It belongs to one goroutine.
type Log struct {
	log        *linelog.Log
	dispatcher string
	generation string
	number     uint64
	lastAppend float64
}

// Open opens a ledger for a life.
func Open(o linelog.Options, by, life string) (*Log, error) {
	o.What = "ledger"
	log, err := linelog.Open(o)
	if err != nil {
		return nil, err
	}
	return &Log{log: log, dispatcher: by, generation: life}, nil
}

// GenerationName is a life's name, by the start of its process in Unix time.
func GenerationName(started float64) string { return strconv.FormatUint(uint64(started*1e6), 36) }

// Append writes an entry and returns its number: the mark of what is decided from now on.
func (b *Log) Append(now float64, e Entry) uint64 {
	b.number++
	b.lastAppend = now
	e.Time, e.Dispatcher, e.Generation, e.Number = now, b.dispatcher, b.generation, b.number
	if len(e.Workers) > maxWorkers {
		e.Workers, e.OmittedWorkers = e.Workers[:maxWorkers], len(e.Workers)-maxWorkers
	}
	text, err := json.Marshal(&e)
	if err == nil { // of numbers and strings: it cannot fail
		b.log.End(append(append(b.log.Begin(), text...), '\n'))
	}
	return b.number
}

// ContinueAfter has entries numbered on from those of an earlier file of the same life.
func (b *Log) ContinueAfter(n uint64) { b.number = n }

// KeepAliveDue is due where nothing was added for a while.
func (b *Log) KeepAliveDue(now float64) bool { return now >= b.lastAppend+KeepAliveInterval }

// LostLines is how many lines did not get to the disk.
func (b *Log) LostLines() uint64 { return b.log.Lost() + b.log.Failed() }

// Flush hands what there is to the writer.
func (b *Log) Flush() { b.log.Flush() }

// Close writes what there is and closes the file; it waits for the disk.
func (b *Log) Close() { b.log.Close() }
