package versions

import (
	"fmt"

	"cinderroad/internal/shared/lease"
	"cinderroad/internal/shared/membership"
)

// UpdateLease has the lease judged by what is known here and in the view, and says whether it is another than before.
func (b *Table) UpdateLease(now float64, v *membership.View) (changed bool) {
	in := lease.Input{Now: now, LastDiscovery: b.lastDiscovery}
	for i := range v.Members {
		s := &v.Members[i]
		m := lease.Member{Name: s.Name, Key: s.Key, LastContact: s.LastContact, Excluded: b.Excluded(s.Name)}
		if s.Metadata != nil {
			m.State = s.Metadata.Lease
		}
		if s.State == membership.Dead {
			m.DeadSince = s.Since
		}
		switch p, told := b.peers[s.Name]; {
		case s.Self:
			m.LastUpdate, m.State = b.lastConfirmed, b.Lease.State()
			if m.LastUpdate == 0 { // of an earlier life is the list, and nobody has confirmed it: as old as its taking up
				m.LastUpdate = b.versionSince
			}
			in.Self = m
			continue
		case s.State == membership.Left:
			continue
		case told:
			m.LastUpdate, m.DirectUpdate, m.UpdateLead = p.LastUpdate, p.DirectUpdate, (float64(p.updateStamp)-float64(b.updateStamp))/stampsPerSecond
		}
		in.Others = append(in.Others, m)
	}
	was, why := b.Lease.State(), b.Lease.Reason
	return b.Lease.Update(&in) != was || b.Lease.Reason != why
}

// IssueOrder gives an order at this member. More than a third of the members are not shut out at once.
func (b *Table) IssueOrder(now float64, v *membership.View, member string, out bool) error {
	known, shut, found := 0, 1, false
	for i := range v.Members {
		s := &v.Members[i]
		if s.State == membership.Left {
			continue
		}
		known++
		if s.Name == member {
			found = true
		} else if b.Excluded(s.Name) || s.OutOfService() || s.State == membership.Dead {
			shut++
		}
	}
	switch quota := lease.MaxOut(known); {
	case out && !found:
		return fmt.Errorf("versions: no member has the name %s", member)
	case out && shut > quota:
		return fmt.Errorf("versions: %d of %d members would be shut out; %d at most", shut, known, quota)
	}
	return b.addOrder(now, member, out)
}
