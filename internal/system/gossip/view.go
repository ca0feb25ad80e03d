package gossip

import (
	"net/netip"
	"time"

	"cinderroad/internal/shared/membership"
)

// State is the state of a member, by this process's view.
type State = membership.State

// The states of a member.
const (
	Alive   = membership.Alive
	Suspect = membership.Suspect
	Dead    = membership.Dead
	Left    = membership.Left
)

// Member is a process as this one knows it. Role and the fields after it are empty until the member's metadata has
// arrived.
type Member struct {
	Node    string
	Address netip.Addr // of the machine
	State   State
	Since   time.Time // when the state was entered, by the monotonic clock
	Self    bool
	Role    Role
	Zone    string
	Front   string // address at which clients reach it; empty: none or not known
	Serving Serving
	Version string
}

// Usable reports whether clients may be sent to the member.
func (m *Member) Usable() bool {
	return m.Role == Edge && m.State <= Suspect && m.Serving == ServingNow && m.Front != ""
}

// digests identify a version of the view and of the members' metadata.
type digests struct{ view, metadata uint64 }

// snapshot is the view as it was last requested.
type snapshot struct {
	digests digests
	members []Member
}

// viewChanged reports whether the view has changed since the last call. The caller holds the mutex.
func (l *Memberlist) viewChanged() bool {
	current := l.digests()
	if current == l.notifiedDigests {
		return false
	}
	l.notifiedDigests = current
	return true
}

func (l *Memberlist) digests() digests {
	return digests{view: l.node.Digest(), metadata: l.node.MetadataDigest()}
}

// refresh renews the snapshot if the view has changed. The caller holds the mutex.
func (l *Memberlist) refresh() {
	current := l.digests()
	if l.snapshot.members != nil && l.snapshot.digests == current {
		return
	}
	view := l.node.View()
	members := make([]Member, 0, len(view.Members))
	for i := range view.Members {
		members = append(members, l.newMember(&view.Members[i]))
	}
	l.snapshot = snapshot{digests: current, members: members}
}

func (l *Memberlist) newMember(entry *membership.Member) Member {
	member := Member{
		Node:    nodeName(entry.Name),
		Address: entry.Addr.Addr(),
		State:   entry.State,
		Since:   l.timeOf(entry.Since),
		Self:    entry.Self,
	}
	if facts := entry.Metadata; facts != nil {
		member.Role = Role(facts.Role)
		member.Zone = facts.Zone
		member.Front = facts.Front
		member.Serving = Serving(facts.Serving)
		member.Version = facts.Version
	}
	return member
}

// currentMembers returns the members of an up-to-date snapshot. The caller holds the mutex.
func (l *Memberlist) currentMembers() []Member {
	l.refresh()
	return l.snapshot.members
}

// View returns all members, ordered by name, this one among them. The slice is shared: the caller must not change it.
func (l *Memberlist) View() []Member {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.currentMembers()
}

// LastConfirmedView returns the same as View, unless this process is isolated: then it returns the members as they were
// when one last acknowledged a probe, since those that cannot be reached may be alive. Members that were dead or had
// left by then are so.
func (l *Memberlist) LastConfirmedView() []Member {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.isolation.confirmed != nil {
		return l.isolation.confirmed
	}
	return l.currentMembers()
}
