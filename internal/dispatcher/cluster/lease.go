package cluster

import (
	"go.uber.org/zap"

	"cinderroad/internal/shared/lease"
	"cinderroad/internal/shared/membership"
)

// LeaseTerm returns how long a lease lasts without a fresh update of discovery, in seconds.
func (c *Cluster) LeaseTerm() float64 { return c.options.LeaseTerm }

// ConfirmationAge returns the seconds since an update of discovery last confirmed all that is known here, -1 if none
// has.
func (c *Cluster) ConfirmationAge() float64 {
	at := c.options.Versions.LastConfirmed()
	if at <= 0 {
		return -1
	}
	return c.loop.Now() - at
}

// updateLease computes the lease, publishes it and reports a change.
func (c *Cluster) updateLease(view *membership.View) {
	l := c.options.Versions.Lease
	before := l.State()
	if !c.options.Versions.UpdateLease(c.loop.Now(), view) {
		return
	}
	c.SetMetadata(c.options.Metadata)
	c.log.Warn("membership: lease state changed", zap.Stringer("state", l.State()), zap.String("reason", l.Reason))
	if out := l.State() == lease.Out; out != (before == lease.Out) {
		c.options.OnLease(out, l.Reason)
	}
}

// IssueOrder excludes a member, or readmits it, and sends the order through all members. At most a third may be out. It
// returns ErrNotJoined, or why the order is refused.
func (c *Cluster) IssueOrder(member string, out bool) error {
	if c.socket == nil {
		return ErrNotJoined
	}
	view := c.node.View()
	if err := c.options.Versions.IssueOrder(c.loop.Now(), &view, member, out); err != nil {
		return err
	}
	c.updateShare()
	c.GossipNow()
	return nil
}
