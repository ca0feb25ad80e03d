package cluster

import (
	"go.uber.org/zap"

	"cinderroad/internal/dispatcher/cluster/quota"
)

// updateShare computes the lease and the share, and reports a change of the share.
func (c *Cluster) updateShare() {
	c.shareAt = c.loop.Now()
	c.recognized = c.node.Recognized()
	view := c.node.View()
	c.updateLease(&view)
	share := c.calculator.Share(c.loop.Now(), &view)
	if share.Equal(&c.share) {
		return
	}
	before := c.share
	c.share = share
	c.onShare(share)
	if before.Instances == share.Instances && before.Fraction == share.Fraction && before.Reason == share.Reason {
		return // only names have changed
	}
	c.log.Info("slow start: quota changed",
		zap.Int("instances", share.Instances),
		zap.Int("index", share.Index),
		zap.Float64("fraction", share.Fraction),
		zap.String("reason", string(share.Reason)))
}

// Update applies at once what has changed in Options.Versions.
func (c *Cluster) Update() {
	if !c.closed {
		c.updateShare()
	}
}

// Share returns the current share of the budget of workers in slow start.
func (c *Cluster) Share() quota.Share { return c.share }
