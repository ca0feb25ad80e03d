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

	seen        uint64        // the highest sequence number that a peer was seen to hold
	isBehind    bool          // the log is in logSet.behind
	pullTarget  uint64        // an earlier value of seen; it is pulled if it does not arrive by itself
	targetSince time.Duration // when pullTarget was set
}

// length returns the highest sequence number, durable or not.
func (l *operationLog) length() uint64 { return uint64(len(l.entries)) }

// logSet holds the logs of all origins.
type logSet struct {
	all      []*operationLog // in the order in which they became known
	sorted   []*operationLog // by origin
	byOrigin map[Origin]*operationLog
	behind   []*operationLog // those that a peer was seen to hold more of
	entries  int             // in all logs
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

// noteSeen records what a peer holds of the logs but for its own one.
func (s *logSet) noteSeen(vector VersionVector, own Origin) {
	for origin, sequence := range vector {
		if origin == own || sequence <= s.lengthOf(origin) {
			continue
		}
		log := s.get(origin)
		log.seen = max(log.seen, sequence)
		if !log.isBehind {
			log.isBehind = true
			s.behind = append(s.behind, log)
		}
	}
}

// pullAtOnce has the logs that others hold more of pulled without waiting for pushes, since none may be under way.
func (s *logSet) pullAtOnce(now time.Duration) {
	for _, log := range s.behind {
		log.pullTarget = log.seen
		log.targetSince = now - pullAfter
	}
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
