package gossip

import (
	"slices"
	"time"
)

// DefaultDeadProxyTTL is the default of Options.DeadProxyTTL.
const DefaultDeadProxyTTL = 10 * time.Second

// ProxyCount returns how many proxies may be sending, 0 if this process does not know the others yet. A dead proxy may
// only be cut off from this process and counts for Options.DeadProxyTTL. A member whose role is not known counts.
func (l *Memberlist) ProxyCount() int {
	proxies, known := l.activeProxies()
	if !known {
		return 0
	}
	return max(1, len(proxies))
}

// Peers returns the other proxies that ProxyCount counts, nil if they are not known yet.
func (l *Memberlist) Peers() []Member {
	proxies, known := l.activeProxies()
	if !known {
		return nil
	}
	return slices.DeleteFunc(proxies, func(m Member) bool { return m.Self })
}

// activeProxies returns the proxies that may be sending, in a new slice. known is false until the view has been
// complete once.
func (l *Memberlist) activeProxies() (proxies []Member, known bool) {
	members := l.View()
	l.mutex.Lock()
	known = l.viewComplete
	l.mutex.Unlock()
	if !known {
		return nil, false
	}
	return slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return !l.maySend(&m) }), true
}

// maySend reports whether a member counts as a proxy that may be sending.
func (l *Memberlist) maySend(member *Member) bool {
	if member.Role != Edge && member.Role != "" {
		return false
	}
	return member.State <= Suspect || member.State == Dead && time.Since(member.Since) < l.options.DeadProxyTTL
}
