package cluster

import (
	"errors"
	"fmt"
	"net/netip"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"cinderroad/internal/shared/eventloop"
	"cinderroad/internal/shared/membership"
)

const (
	bindRetryInterval = 0.1  // seconds between attempts to open an address that the previous process still has
	dropsLogInterval  = 60.0 // seconds between log lines about dropped datagrams
	minPauseSeconds   = 0.5  // least seconds that an iteration of the loop is late to count as a pause
	minPauseProbes    = 2.0  // and probe intervals, whichever is longer
)

// Reasons for which datagrams are dropped.
const (
	dropOtherCluster = iota
	dropCorrupt
	dropUnknownFormat
	dropOversized
	dropReasons
)

// DropNames are the names of the reasons, as logs, metrics and /api/fleet show them.
var DropNames = [dropReasons]string{"foreign", "broken", "format", "oversized"}

// Bind opens the socket of a member before its start, so that an address that cannot be opened fails a reload. If the
// address is in use, as by a process that is about to end, it returns nil and no error.
func Bind(loop *eventloop.Loop, addr netip.AddrPort) (*eventloop.UDPSocket, error) {
	socket, err := loop.ListenUDP(addr, func([]byte) {})
	if errors.Is(err, unix.EADDRINUSE) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("membership: %w", err)
	}
	return socket, nil
}

// retryBind opens the socket once the process that has the address ends.
func (c *Cluster) retryBind() {
	if c.closed {
		return
	}
	socket, err := Bind(c.loop, c.options.Bind)
	if socket == nil {
		if !c.waiting || err != nil {
			c.log.Warn("membership: bind address in use, retrying", zap.Stringer("bind", c.options.Bind), zap.Error(err))
		}
		c.waiting = true
		c.timer = c.loop.At(c.loop.Now()+bindRetryInterval, c.retryBind)
		return
	}
	c.waiting = false
	c.socket = socket
	c.join()
}

// scheduleTick schedules the node's next tick.
func (c *Cluster) scheduleTick() {
	c.timer.Stop()
	c.timer = c.loop.At(c.node.NextTick(), func() {
		c.node.Tick(c.loop.Now())
		if c.loop.Now() >= c.shareAt+c.options.ProbeInterval {
			c.updateShare()
		}
		c.flush()
		c.logDrops()
		c.scheduleTick()
	})
}

// handleDatagram handles a datagram from the network.
func (c *Cluster) handleDatagram(datagram []byte) {
	c.Received++
	msg, err := membership.Decode(c.options.Cluster, datagram)
	switch {
	case err == nil:
		c.node.HandleMessage(c.loop.Now(), msg)
		c.flush()
	case errors.Is(err, membership.ErrOtherCluster):
		c.Drops[dropOtherCluster]++
	case errors.Is(err, membership.ErrUnknownFormat):
		c.Drops[dropUnknownFormat]++
	case errors.Is(err, membership.ErrOversized):
		c.Drops[dropOversized]++
	default:
		c.Drops[dropCorrupt]++
	}
}

// handlePause is called by the loop before anything else in an iteration that comes late.
func (c *Cluster) handlePause(late float64) {
	if c.closed || c.waiting {
		return
	}
	c.log.Warn("membership: process was paused, verifying members again", zap.Float64("late_s", late))
	if c.options.OnPause != nil {
		c.options.OnPause(late)
	}
	c.node.HandlePause(c.loop.Now())
	c.flush()
	c.scheduleTick()
}

// flush sends the node's packets, logs its changes, and updates the share if need be. The socket must be open. Call it after
// each call that makes the node act.
func (c *Cluster) flush() {
	for _, packet := range c.node.TakePackets() {
		datagram, err := membership.Encode(packet.Message)
		if err == nil {
			if err = c.socket.SendTo(packet.To, datagram); err == nil {
				c.Sent++
				c.BytesSent += uint64(len(datagram))
				continue
			}
		}
		c.Unsent++ // a full buffer or no route: as if lost on the network
		c.log.Debug("membership: failed to send datagram", zap.Stringer("to", packet.To), zap.Error(err))
	}
	changes := c.node.TakeChanges()
	for _, change := range changes {
		c.logChange(change)
	}
	for _, seconds := range c.node.TakeConvergenceTimes() {
		c.lastConvergence = seconds
		alive, suspect, dead := c.node.CountByState()
		c.options.OnConverged(Convergence{seconds, alive, digest(c.node.Digest())})
		c.log.Info("membership: converged",
			zap.Float64("after_s", seconds),
			zap.Int("alive", alive),
			zap.Int("suspect", suspect),
			zap.Int("dead", dead),
			zap.String("digest", digest(c.node.Digest())))
	}
	if len(changes) > 0 || c.recognized != c.node.Recognized() {
		c.updateShare()
	}
}

// logChange logs a change of a member.
func (c *Cluster) logChange(change membership.Change) {
	fields := []zap.Field{
		zap.String("member", change.Name),
		zap.Stringer("to", change.To),
		zap.Uint64("incarnation", change.Incarnation),
		zap.String("cause", change.Cause),
	}
	if !change.New {
		fields = append(fields, zap.Stringer("from", change.From))
	}
	if change.Name == c.options.Name {
		c.log.Error("membership: "+change.Cause, zap.String("member", change.Name))
		return
	}
	c.log.Info("membership: member state changed", fields...)
}

// logDrops logs the numbers of dropped datagrams from time to time.
func (c *Cluster) logDrops() {
	if c.Drops == c.loggedDrops || c.loop.Now() < c.dropsLoggedAt+dropsLogInterval {
		return
	}
	c.dropsLoggedAt = c.loop.Now()
	c.loggedDrops = c.Drops
	fields := []zap.Field{}
	for i, n := range c.Drops {
		fields = append(fields, zap.Uint64(DropNames[i], n))
	}
	c.log.Warn("membership: datagrams dropped so far", fields...)
}

// GossipNow sends urgent facts and orders without waiting for the next tick.
func (c *Cluster) GossipNow() {
	if c.socket != nil && !c.waiting && c.options.Versions.HasUrgent() {
		c.node.GossipNow(c.loop.Now())
		c.flush()
	}
}
