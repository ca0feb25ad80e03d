// Package fleet joins the fleet's state machines to the loop: one UDP socket, one deadline, no goroutine of its own. What
// they decide goes to the core by one call.
package cluster

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"slices"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"cinderroad/internal/dispatcher/cluster/quota"
	"cinderroad/internal/dispatcher/cluster/versions"
	"cinderroad/internal/shared/eventloop"
	"cinderroad/internal/shared/lease"
	"cinderroad/internal/shared/membership"
)

const (
	bindRetryInterval = 0.1  // seconds between two tries at an address that the process before this one still holds
	dropsLogInterval  = 60.0 // seconds between two lines about datagrams that were dropped
	minPauseSeconds   = 0.5  // seconds of a sleep that counts, at least
	minPauseProbes    = 2.0  // and periods
)

// Options are what a member is told.
type Options struct {
	Cluster, Name          string
	Bind, Advertise        netip.AddrPort
	Seeds                  []netip.AddrPort
	ProbeInterval, DeadTTL float64 // seconds
	LeaseTerm              float64 // seconds
	RandomSeed             uint64
	Metadata               membership.Metadata
	Quota                  quota.Config
	Versions               *versions.Table            // who holds which list; not nil
	OnLease                func(out bool, why string) // this dispatcher may take new work no more, or again
	OnConverged            func(Convergence)
	OnPause                func(late float64) // this process has stood still; called before anything else in that turn
}

// Convergence is that the view has settled.
type Convergence struct {
	After  float64 // seconds
	Alive  int
	Digest string
}

// Cluster is this dispatcher's part in its fleet.
type Cluster struct {
	Sent, Received, Unsent uint64
	BytesSent              uint64
	Drops                  [dropReasons]uint64

	loop            *eventloop.Loop
	log             *zap.Logger
	options         Options
	onShare         func(quota.Share) // who decides by the place
	node            *membership.Node
	calculator      *quota.Calculator
	socket          *eventloop.UDPSocket
	timer           *eventloop.Timer
	share           quota.Share
	shareAt         float64
	recognized      bool
	waiting         bool // for the address, or for the process that has the name to give it back
	closed          bool
	loggedDrops     [dropReasons]uint64 // of Drops, in the log
	dropsLoggedAt   float64
	lastConvergence float64 // how long the last settling took
}

// Reasons for which datagrams are dropped.
const (
	dropOtherCluster = iota
	dropCorrupt
	dropUnknownFormat
	dropOversized
	dropReasons
)

// DropNames name them.
var DropNames = [dropReasons]string{"foreign", "broken", "format", "oversized"}

// Bind opens the socket of a member ahead of its start, so that an address that cannot be had refuses a reload. The
// address of a process that still runs is waited for: nil without an error.
func Bind(loop *eventloop.Loop, addr netip.AddrPort) (*eventloop.UDPSocket, error) {
	socket, err := loop.ListenUDP(addr, func([]byte) {})
	if errors.Is(err, unix.EADDRINUSE) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	return socket, nil
}

// Start begins; socket is of Bind, nil if the address was not to be had yet. use is called at once and with each change.
func Start(loop *eventloop.Loop, log *zap.Logger, o Options, socket *eventloop.UDPSocket, use func(quota.Share)) *Cluster {
	f := &Cluster{loop: loop, log: log, options: o, onShare: use, socket: socket}
	loop.LateWakeupSeconds = math.Max(minPauseSeconds, minPauseProbes*o.ProbeInterval)
	loop.OnLateWakeup = f.handlePause
	f.startNode()
	return f
}

// startNode starts a life as a member.
func (c *Cluster) startNode() {
	o := &c.options
	c.node = membership.New(membership.Options{Cluster: o.Cluster, Name: o.Name, Addr: o.Advertise, Seeds: o.Seeds, ProbeInterval: o.ProbeInterval,
		DeadTTL: o.DeadTTL, Generation: uint64(c.loop.Now() * 1e6), RandomSeed: o.RandomSeed, Metadata: o.Metadata, Delegate: o.Versions})
	o.Versions.SameZone = func(member string) bool { return c.node.Zone(member) == o.Metadata.Zone }
	c.calculator = quota.New(o.Quota)
	o.Versions.Lease.ProbeInterval, o.Versions.Lease.Term = o.ProbeInterval, o.LeaseTerm
	c.updateShare()
	if c.socket == nil {
		c.retryBind()
		return
	}
	c.join()
}

// retryBind tries for the address until the process that holds it lets go.
func (c *Cluster) retryBind() {
	if c.closed {
		return
	}
	socket, err := Bind(c.loop, c.options.Bind)
	if socket == nil {
		if !c.waiting || err != nil {
			c.log.Warn("fleet: the address is taken, waiting for it", zap.Stringer("bind", c.options.Bind), zap.Error(err))
		}
		c.waiting = true
		c.timer = c.loop.At(c.loop.Now()+bindRetryInterval, c.retryBind)
		return
	}
	c.waiting, c.socket = false, socket
	c.join()
}

func (c *Cluster) join() {
	c.socket.SetHandler(c.handleDatagram)
	c.log.Info("fleet: member", zap.String("fleet", c.options.Cluster), zap.String("name", c.options.Name),
		zap.Stringer("bind", c.options.Bind), zap.Stringer("advertise", c.options.Advertise), zap.Uint64("life", c.node.Generation))
	c.node.Start(c.loop.Now())
	c.flush()
	c.scheduleTick()
}

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

func (c *Cluster) handleDatagram(b []byte) {
	c.Received++
	msg, err := membership.Decode(c.options.Cluster, b)
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

// handlePause is told before anything else is done in a turn that comes late.
func (c *Cluster) handlePause(late float64) {
	if c.closed || c.waiting {
		return
	}
	c.log.Warn("fleet: this process has stood still; what it knew is looked at again", zap.Float64("late_s", late))
	if c.options.OnPause != nil {
		c.options.OnPause(late)
	}
	c.node.HandlePause(c.loop.Now())
	c.flush()
	c.scheduleTick()
}

// flush sends what the machine has to send, tells what has changed, and has the decisions know.
func (c *Cluster) flush() {
	for _, p := range c.node.TakePackets() {
		b, err := membership.Encode(p.Message)
		if err == nil {
			if err = c.socket.SendTo(p.To, b); err == nil {
				c.Sent++
				c.BytesSent += uint64(len(b))
				continue
			}
		}
		c.Unsent++ // a full buffer, no way there: as good as lost on the way
		c.log.Debug("fleet: not sent", zap.Stringer("to", p.To), zap.Error(err))
	}
	changes := c.node.TakeChanges()
	for _, change := range changes {
		c.logChange(change)
	}
	for _, s := range c.node.TakeConvergenceTimes() {
		c.lastConvergence = s
		alive, suspect, dead := c.node.CountByState()
		c.options.OnConverged(Convergence{s, alive, digest(c.node.Digest())})
		c.log.Info("fleet: settled", zap.Float64("after_s", s), zap.Int("alive", alive), zap.Int("suspect", suspect), zap.Int("dead", dead),
			zap.String("digest", digest(c.node.Digest())))
	}
	if len(changes) > 0 || c.recognized != c.node.Recognized() {
		c.updateShare()
	}
}

func (c *Cluster) logChange(change membership.Change) {
	fields := []zap.Field{zap.String("member", change.Name), zap.Stringer("is", change.To), zap.Uint64("incarnation", change.Incarnation), zap.String("cause", change.Cause)}
	if !change.New {
		fields = append(fields, zap.Stringer("was", change.From))
	}
	if change.Name == c.options.Name {
		c.log.Error("fleet: "+change.Cause, zap.String("member", change.Name))
		return
	}
	c.log.Info("fleet: change", fields...)
}

// updateShare works the place out anew.
func (c *Cluster) updateShare() {
	c.shareAt, c.recognized = c.loop.Now(), c.node.Recognized()
	view := c.node.View()
	c.updateLease(&view)
	p := c.calculator.Share(c.loop.Now(), &view)
	if p.Equal(&c.share) {
		return
	}
	was := c.share
	c.share = p
	c.onShare(p)
	if was.Instances == p.Instances && was.Fraction == p.Fraction && was.Reason == p.Reason {
		return // other names alone
	}
	c.log.Info("fleet: cold workers are shared", zap.Int("among", p.Instances), zap.Int("me", p.Index), zap.Float64("part", p.Fraction), zap.String("why", string(p.Reason)))
}

// Update has what has changed decided by at once.
func (c *Cluster) Update() {
	if !c.closed {
		c.updateShare()
	}
}

// Contacted says whether anybody else was heard from.
func (c *Cluster) Contacted() bool { return c.node.Contacted() }

// LeaseTerm is how long a lease lasts without a fresh word, in seconds.
func (c *Cluster) LeaseTerm() float64 { return c.options.LeaseTerm }

// ConfirmationAge is how long ago a word of discovery last confirmed what is known here, in seconds; -1: never.
func (c *Cluster) ConfirmationAge() float64 {
	at := c.options.Versions.LastConfirmed()
	if at <= 0 {
		return -1
	}
	return c.loop.Now() - at
}

// updateLease has the lease judged anew.
func (c *Cluster) updateLease(view *membership.View) {
	l := c.options.Versions.Lease
	was := l.State()
	if !c.options.Versions.UpdateLease(c.loop.Now(), view) {
		return
	}
	c.SetMetadata(c.options.Metadata)
	c.log.Warn("fleet: lease", zap.Stringer("is", l.State()), zap.String("why", l.Reason))
	if out := l.State() == lease.Out; out != (was == lease.Out) {
		c.options.OnLease(out, l.Reason)
	}
}

// IssueOrder shuts a member out, or brings it back, by whichever way reaches it. More than a third are not shut out at once.
func (c *Cluster) IssueOrder(member string, out bool) error {
	if c.socket == nil {
		return errors.New("fleet: not joined yet")
	}
	view := c.node.View()
	if err := c.options.Versions.IssueOrder(c.loop.Now(), &view, member, out); err != nil {
		return err
	}
	c.updateShare()
	c.GossipNow()
	return nil
}

// dropsLogInterval says once in a while what was dropped.
func (c *Cluster) logDrops() {
	if c.Drops == c.loggedDrops || c.loop.Now() < c.dropsLoggedAt+dropsLogInterval {
		return
	}
	c.dropsLoggedAt, c.loggedDrops = c.loop.Now(), c.Drops
	fields := []zap.Field{}
	for i, n := range c.Drops {
		fields = append(fields, zap.Uint64(DropNames[i], n))
	}
	c.log.Warn("fleet: datagrams dropped so far", fields...)
}

// GossipNow sends what the Board has to tell without waiting for the next step.
func (c *Cluster) GossipNow() {
	if c.socket != nil && !c.waiting && c.options.Versions.HasUrgent() {
		c.node.GossipNow(c.loop.Now())
		c.flush()
	}
}

// SetMetadata sets what is told of this member.
func (c *Cluster) SetMetadata(facts membership.Metadata) {
	facts.Lease = c.options.Versions.Lease.State()
	c.options.Metadata = facts
	c.node.SetMetadata(c.loop.Now(), facts)
}

// Leave tells the others that this dispatcher has stopped sending; Rejoin that it begins again.
func (c *Cluster) Leave() {
	if c.socket == nil {
		return
	}
	c.node.Leave(c.loop.Now())
	c.updateShare()
	c.flush()
}

// Rejoin takes a Leave back.
func (c *Cluster) Rejoin() {
	c.node.Rejoin(c.loop.Now())
	c.updateShare()
	if c.socket != nil {
		c.flush()
		c.scheduleTick()
	}
}

// DeclareLeft has a member that is dead count as one that has left, everywhere.
func (c *Cluster) DeclareLeft(name string) error {
	if c.socket == nil {
		return errors.New("fleet: not joined yet")
	}
	err := c.node.DeclareLeft(c.loop.Now(), name)
	c.updateShare()
	c.flush()
	return err
}

// Yield leaves the name and the address to the process that takes this one's place, without a word; Resume takes both back.
func (c *Cluster) Yield() {
	c.timer.Stop()
	if c.socket != nil {
		c.socket.Close()
		c.socket = nil
	}
	c.waiting = true
	c.share.Fraction, c.share.Reason = quota.CautiousFraction, quota.CutOff // the next one has the share
	c.onShare(c.share)
}

// Resume begins a new life under the name.
func (c *Cluster) Resume() { c.startNode() }

// SameIdentity says whether a member started by o would be this one but for seeds and rules, which Change takes.
func (c *Cluster) SameIdentity(o *Options) bool {
	w := &c.options
	return w.Cluster == o.Cluster && w.Name == o.Name && w.Bind == o.Bind && w.Advertise == o.Advertise && w.ProbeInterval == o.ProbeInterval && w.DeadTTL == o.DeadTTL && w.LeaseTerm == o.LeaseTerm
}

// SameBind says whether the address is this one's.
func (c *Cluster) SameBind(o *Options) bool { return c.options.Bind == o.Bind }

// UpdateOptions takes other seeds and rules.
func (c *Cluster) UpdateOptions(o Options) {
	c.options.Quota, c.calculator.Config = o.Quota, o.Quota
	if !slices.Equal(c.options.Seeds, o.Seeds) {
		c.options.Seeds = o.Seeds
		c.node.SetSeeds(c.loop.Now(), o.Seeds)
		if c.socket != nil {
			c.flush()
		}
	}
	c.updateShare()
}

// Release ends this member by word and gives its socket to whoever has the address next; nil where it had none.
func (c *Cluster) Release() *eventloop.UDPSocket {
	c.Leave()
	socket := c.socket
	c.socket, c.closed = nil, true
	c.timer.Stop()
	c.loop.OnLateWakeup = nil
	return socket
}

// Close ends this member by word.
func (c *Cluster) Close() {
	if s := c.Release(); s != nil {
		s.Close()
	}
}

// CountByState counts the members by state, this one among the living.
func (c *Cluster) CountByState() (alive, suspect, dead int) { return c.node.CountByState() }

// Stats are what the membership has counted.
func (c *Cluster) Stats() membership.Stats { return c.node.Stats }

// LastConvergence is how long the view took to settle the last time, in seconds; 0: it has not yet.
func (c *Cluster) LastConvergence() float64 { return c.lastConvergence }

// Share is among whom cold workers are shared.
func (c *Cluster) Share() quota.Share { return c.share }
