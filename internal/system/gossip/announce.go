package gossip

import (
	"cinderroad/internal/shared/membership"
)

// SetServing announces whether this process takes work from clients, to control replicas at once.
func (l *Memberlist) SetServing(serving Serving) {
	l.setMetadata(func(facts *membership.Metadata) { facts.Serving = string(serving) })
}

// SetFront announces the address at which clients reach this process.
func (l *Memberlist) SetFront(front string) {
	l.setMetadata(func(facts *membership.Metadata) { facts.Front = front })
}

// setMetadata changes the metadata and announces it to control replicas at once; the others learn of it by gossip.
func (l *Memberlist) setMetadata(change func(*membership.Metadata)) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	before := l.metadata
	change(&l.metadata)
	if l.metadata == before || l.closed {
		return
	}
	now := l.now()
	l.node.SetMetadata(now, l.metadata)
	l.node.Announce(now, isControl)
	l.flush()
}

func isControl(record *membership.Record) bool {
	return record.Metadata != nil && record.Metadata.Role == string(Control)
}
