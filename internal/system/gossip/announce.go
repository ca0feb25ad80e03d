package gossip

import (
	"cinderroad/internal/shared/membership"
)

// SetServing announces whether this process takes work from clients, to control replicas at once.
func (l *Memberlist) SetServing(serving Serving) {
	l.setFacts(func(facts *membership.Facts) { facts.Serving = string(serving) })
}

// SetFront announces the address at which clients reach this process.
func (l *Memberlist) SetFront(front string) {
	l.setFacts(func(facts *membership.Facts) { facts.Front = front })
}

func (l *Memberlist) setFacts(alter func(*membership.Facts)) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	was := l.facts
	alter(&l.facts)
	if l.facts == was || l.closed {
		return
	}
	now := l.now()
	l.node.SetFacts(now, l.facts)
	l.node.Announce(now, isControl)
	l.flush()
}

func isControl(record *membership.Record) bool {
	return record.FactsOf != nil && record.FactsOf.Role == string(Control)
}
