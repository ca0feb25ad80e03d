package counter

import (
	"cmp"
	"slices"
	"time"
)

// operationLog is the log of one origin.
type operationLog struct {
	origin  Origin
	index   uint32 // in logSet.all
	entries []operationIndex
	durable uint64 // the sequence number up to which entries are durable here

	// aheadTarget is what a peer was seen to hold of this log since aheadSince; 0: no peer holds more than is durable here.
	aheadTarget uint64
	aheadSince  time.Duration
}

// length returns the highest sequence number, durable or not.
func (l *operationLog) length() uint64 { return uint64(len(l.entries)) }

// logSet holds the logs of all origins.
type logSet struct {
	all      []*operationLog // in the order in which they became known
	sorted   []*operationLog // by origin
	byOrigin map[Origin]*operationLog
	entries  int // in all logs
}

// get returns the log of an origin, which it adds if it is unknown.
func (s *logSet) get(origin Origin) *operationLog {
	if log := s.byOrigin[origin]; log != nil {
		return log
	}
	log := &operationLog{origin: origin, index: uint32(len(s.all))}
	s.all = append(s.all, log)
	s.byOrigin[origin] = log
	at, _ := slices.BinarySearchFunc(s.sorted, origin, func(l *operationLog, o Origin) int { return cmp.Compare(l.origin, o) })
	s.sorted = slices.Insert(s.sorted, at, log)
	return log
}

// lengthOf returns the highest sequence number of an origin, durable or not.
func (s *logSet) lengthOf(origin Origin) uint64 {
	if log := s.byOrigin[origin]; log != nil {
		return log.length()
	}
	return 0
}

// durableOf returns the sequence number up to which the log of an origin is durable.
func (s *logSet) durableOf(origin Origin) uint64 {
	if log := s.byOrigin[origin]; log != nil {
		return log.durable
	}
	return 0
}

// vector returns the version vector of what is durable.
func (s *logSet) vector() VersionVector {
	vector := VersionVector{}
	for _, log := range s.all {
		if log.durable > 0 {
			vector[log.origin] = log.durable
		}
	}
	return vector
}
