package checker

import (
	"slices"
	"sync"
	"time"
)

// Core is the address under which the trouble of all control machines is recorded.
const Core = "core"

// Machines records what was done to the machines of a system, for rules that hold only for machines that were left alone,
// and for those of a graceful shutdown. Machines are named by the address at which they serve clients. Its methods may be
// called from any goroutine.
type Machines struct {
	mutex   sync.Mutex
	trouble map[string][]trouble
	stops   map[string][]time.Time
	reloads map[string][]time.Time
}

// trouble is a time in which a machine was not left alone.
type trouble struct {
	from, to time.Time
	kind     troubleKind
}

type troubleKind uint8

const (
	planned   troubleKind = iota // it began with SIGTERM
	unplanned                    // the machine was killed or down
	slowed                       // it had too little of the processor, which is no reason to cut off requests
	squeezed                     // it had somewhat less of the processor than it wanted, so that it may see signals late
)

// NewMachines returns a record of machines without trouble.
func NewMachines() *Machines {
	return &Machines{
		trouble: make(map[string][]trouble),
		stops:   make(map[string][]time.Time),
		reloads: make(map[string][]time.Time),
	}
}

// PlannedTrouble records that a machine was stopped with SIGTERM at one time and had started again at the other.
func (m *Machines) PlannedTrouble(address string, from, to time.Time) {
	m.add(address, trouble{from: from, to: to, kind: planned})
}

// UnplannedTrouble records that a machine was killed or down from one time to the other.
func (m *Machines) UnplannedTrouble(address string, from, to time.Time) {
	m.add(address, trouble{from: from, to: to, kind: unplanned})
}

// Slowed records that a machine had too little of the processor from one time to the other.
func (m *Machines) Slowed(address string, from, to time.Time) {
	m.add(address, trouble{from: from, to: to, kind: slowed})
}

func (m *Machines) add(address string, t trouble) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.trouble[address] = append(m.trouble[address], t)
}

// Squeezed records that a machine had somewhat less of the processor than it wanted from one time to the other. It stays in
// touch, but may see signals late.
func (m *Machines) Squeezed(address string, from, to time.Time) {
	m.add(address, trouble{from: from, to: to, kind: squeezed})
}

// WasSqueezed reports whether a machine may have seen signals or timers late between two times.
func (m *Machines) WasSqueezed(address string, from, to time.Time) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return overlapsAny(m.trouble[address], from, to, slowed, squeezed)
}

// Stopped records SIGTERM to the process that serves a machine's clients; only the first one of its life counts.
func (m *Machines) Stopped(address string, at time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.stops[address] = append(m.stops[address], at)
}

// Reloaded records SIGHUP to the process that serves a machine's clients.
func (m *Machines) Reloaded(address string, at time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.reloads[address] = append(m.reloads[address], at)
}

// InTouch reports whether a machine and the core were left alone from one time to the other.
func (m *Machines) InTouch(address string, from, to time.Time) bool {
	return m.LeftAlone(address, from, to) && m.LeftAlone(Core, from, to)
}

// LeftAlone reports whether a machine was left alone from one time to the other.
func (m *Machines) LeftAlone(address string, from, to time.Time) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return !overlapsAny(m.trouble[address], from, to, planned, unplanned, slowed)
}

// unplanned reports whether a machine had unplanned trouble between two times.
func (m *Machines) unplanned(address string, from, to time.Time) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return overlapsAny(m.trouble[address], from, to, unplanned)
}

// overlapsAny reports whether some trouble of the kinds overlaps with a time.
func overlapsAny(list []trouble, from, to time.Time, kinds ...troubleKind) bool {
	for _, t := range list {
		if slices.Contains(kinds, t.kind) && !t.from.After(to) && !t.to.Before(from) {
			return true
		}
	}
	return false
}

// lastStop returns the last SIGTERM up to a time; false if there is none.
func (m *Machines) lastStop(address string, at time.Time) (time.Time, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return lastUpTo(m.stops[address], at)
}

// lastReload returns the last SIGHUP up to a time; false if there is none.
func (m *Machines) lastReload(address string, at time.Time) (time.Time, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return lastUpTo(m.reloads[address], at)
}

func lastUpTo(times []time.Time, at time.Time) (last time.Time, found bool) {
	for _, t := range times {
		if !t.After(at) && (!found || t.After(last)) {
			last, found = t, true
		}
	}
	return last, found
}
