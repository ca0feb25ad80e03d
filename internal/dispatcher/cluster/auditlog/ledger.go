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
	Start    = "start"    // a life begins, by this program, these settings and this operator's file
	List     = "list"     // the own discovery told a version; workers that it changes to or from ready
	Told     = "told"     // a member told what it knows of workers
	Knows    = "knows"    // a member has told all that it knows up to a version
	Behind   = "behind"   // a member knows of a newer version, for the first time
	Doubt    = "doubt"    // what a member told of workers counts no more
	Mute     = "mute"     // the own discovery says nothing
	Speaks   = "speaks"   // and speaks again
	Clock    = "clock"    // what a member's clock was, at most so long ago as its message took
	Order    = "order"    // a member is shut out, or brought back, by hand
	Lease    = "lease"    // may new work be taken
	Slept    = "slept"    // the process stood still
	Looked   = "looked"   // and has looked again since
	Settings = "settings" // other settings or another operator's file are in force
	Excluded = "excluded" // other workers are out by hand
	View     = "view"     // the fleet's view has settled
	Still    = "still"    // nothing else to tell, but the ledger goes on
	End      = "end"      // the life ends as it should
)

var whats = map[string]bool{Start: true, List: true, Told: true, Knows: true, Behind: true, Doubt: true, Mute: true, Speaks: true, Clock: true,
	Order: true, Lease: true, Slept: true, Looked: true, Settings: true, Excluded: true, View: true, Still: true, End: true}

// Worker is what an entry tells of one.
type Worker struct {
	Name  string `json:"name"`
	State string `json:"state"` // ready, draining or gone
	Start int64  `json:"start,omitempty"`
	Rev   int64  `json:"rev,omitempty"` // where it is not the entry's
}

// Entry is one line.
type Entry struct {
	Time float64 `json:"time"` // Unix time, by the dispatcher's clock
	By   string  `json:"by"`
	Life string  `json:"life"` // of its process
	N    uint64  `json:"n"`    // 1, 2 and so on within a life
	What string  `json:"what"`

	From     string   `json:"from,omitempty"` // the member that told it; empty: the own discovery, or nobody
	Source   string   `json:"source,omitempty"`
	Descent  uint64   `json:"descent,omitempty"`
	Rev      int64    `json:"rev,omitempty"`
	Cached   bool     `json:"cached,omitempty"` // the list is of an earlier life
	Workers  []Worker `json:"workers,omitempty"`
	More     int      `json:"more,omitempty"`   // workers that found no room in the line
	Theirs   float64  `json:"theirs,omitempty"` // the other one's clock
	Member   string   `json:"member,omitempty"`
	Out      bool     `json:"out,omitempty"`
	Why      string   `json:"why,omitempty"`
	Late     float64  `json:"late_s,omitempty"`
	Program  string   `json:"program,omitempty"`
	Settings string   `json:"settings,omitempty"`
	Operator string   `json:"operator,omitempty"`
	Digest   string   `json:"digest,omitempty"` // of the view, or of what is excluded
	Members  int      `json:"members,omitempty"`
	Lost     uint64   `json:"lost,omitempty"` // lines of ledger and request log that were lost so far
}

const (
	mostWorkers = 512 // in a line
	// StillEvery is how long a ledger says nothing before it says that it goes on, in seconds.
	StillEvery = 30.0
)

// Book is a dispatcher's ledger, open for writing. It belongs to one goroutine.
type Book struct {
	log  *linelog.Log
	by   string
	life string
	n    uint64
	last float64
}

// Open opens a ledger for a life.
func Open(o linelog.Options, by, life string) (*Book, error) {
	o.What = "ledger"
	log, err := linelog.Open(o)
	if err != nil {
		return nil, err
	}
	return &Book{log: log, by: by, life: life}, nil
}

// Life is a life's name, by the start of its process in Unix time.
func Life(started float64) string { return strconv.FormatUint(uint64(started*1e6), 36) }

// Add writes an entry and returns its number: the mark of what is decided from now on.
func (b *Book) Add(now float64, e Entry) uint64 {
	b.n++
	b.last = now
	e.Time, e.By, e.Life, e.N = now, b.by, b.life, b.n
	if len(e.Workers) > mostWorkers {
		e.Workers, e.More = e.Workers[:mostWorkers], len(e.Workers)-mostWorkers
	}
	text, err := json.Marshal(&e)
	if err == nil { // of numbers and strings: it cannot fail
		b.log.End(append(append(b.log.Begin(), text...), '\n'))
	}
	return b.n
}

// After has entries numbered on from those of an earlier file of the same life.
func (b *Book) After(n uint64) { b.n = n }

// Still is due where nothing was added for a while.
func (b *Book) Still(now float64) bool { return now >= b.last+StillEvery }

// Lost is how many lines did not get to the disk.
func (b *Book) Lost() uint64 { return b.log.Lost() + b.log.Failed() }

// Flush hands what there is to the writer.
func (b *Book) Flush() { b.log.Flush() }

// Close writes what there is and closes the file; it waits for the disk.
func (b *Book) Close() { b.log.Close() }
