package versions

import (
	"fmt"

	"cinderroad/internal/shared/lease"
	"cinderroad/internal/shared/membership"
)

// UpdateLease computes the lease by the view and by what is known here. It reports whether the lease or its reason
// changed.
func (t *Table) UpdateLease(now float64, view *membership.View) (changed bool) {
	in := lease.Input{Now: now, LastDiscovery: t.lastDiscovery}
	for i := range view.Members {
		s := &view.Members[i]
		m := lease.Member{Name: s.Name, Key: s.Key, LastContact: s.LastContact, Excluded: t.Excluded(s.Name)}
		if s.Metadata != nil {
			m.State = s.Metadata.Lease
		}
		if s.State == membership.Dead {
			m.DeadSince = s.Since
		}
		switch p, known := t.peers[s.Name]; {
		case s.Self:
			m.LastUpdate = t.lastConfirmed
			m.State = t.Lease.State()
			if m.LastUpdate == 0 { // the list is cached and unconfirmed: it counts from its loading
				m.LastUpdate = t.versionSince
			}
			in.Self = m
			continue
		case s.State == membership.Left:
			continue
		case known:
			m.LastUpdate = p.LastUpdate
			m.DirectUpdate = p.DirectUpdate
			m.UpdateLead = (float64(p.updateStamp) - float64(t.updateStamp)) / stampsPerSecond
		}
		in.Others = append(in.Others, m)
	}
	before, reason := t.Lease.State(), t.Lease.Reason
	return t.Lease.Update(&in) != before || t.Lease.Reason != reason
}

// IssueOrder issues an order at this member: out excludes the named member, else it is readmitted. It returns an error, and
// issues nothing, if no member has the name, if more than a third of the members would be out, or if there is no room for
// another order. An order that is in force already changes nothing.
func (t *Table) IssueOrder(now float64, view *membership.View, member string, out bool) error {
	known := 0    // members that have not left
	outAfter := 1 // members that are out once the order is in force, the one that it names included
	found := false
	for i := range view.Members {
		s := &view.Members[i]
		if s.State == membership.Left {
			continue
		}
		known++
		if s.Name == member {
			found = true
		} else if t.Excluded(s.Name) || s.OutOfService() || s.State == membership.Dead {
			outAfter++
		}
	}
	switch maxOut := lease.MaxOut(known); {
	case out && !found:
		return fmt.Errorf("versions: no member has the name %s", member)
	case out && outAfter > maxOut:
		return fmt.Errorf("versions: %d of %d members would be shut out; %d at most", outAfter, known, maxOut)
	}
	return t.addOrder(now, member, out)
}
