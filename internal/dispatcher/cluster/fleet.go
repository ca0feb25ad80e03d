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
func (f *Cluster) startNode() {
	o := &f.options
	f.node = membership.New(membership.Options{Cluster: o.Cluster, Name: o.Name, Addr: o.Advertise, Seeds: o.Seeds, ProbeInterval: o.ProbeInterval,
		DeadTTL: o.DeadTTL, Generation: uint64(f.loop.Now() * 1e6), RandomSeed: o.RandomSeed, Metadata: o.Metadata, Delegate: o.Versions})
	o.Versions.SameZone = func(member string) bool { return f.node.Zone(member) == o.Metadata.Zone }
	f.calculator = quota.New(o.Quota)
	o.Versions.Lease.ProbeInterval, o.Versions.Lease.Term = o.ProbeInterval, o.LeaseTerm
	f.updateShare()
	if f.socket == nil {
		f.retryBind()
		return
	}
	f.join()
}

// retryBind tries for the address until the process that holds it lets go.
func (f *Cluster) retryBind() {
	if f.closed {
		return
	}
	socket, err := Bind(f.loop, f.options.Bind)
	if socket == nil {
		if !f.waiting || err != nil {
			f.log.Warn("fleet: the address is taken, waiting for it", zap.Stringer("bind", f.options.Bind), zap.Error(err))
		}
		f.waiting = true
		f.timer = f.loop.At(f.loop.Now()+bindRetryInterval, f.retryBind)
		return
	}
	f.waiting, f.socket = false, socket
	f.join()
}

func (f *Cluster) join() {
	f.socket.SetHandler(f.handleDatagram)
	f.log.Info("fleet: member", zap.String("fleet", f.options.Cluster), zap.String("name", f.options.Name),
		zap.Stringer("bind", f.options.Bind), zap.Stringer("advertise", f.options.Advertise), zap.Uint64("life", f.node.Generation))
	f.node.Start(f.loop.Now())
	f.flush()
	f.scheduleTick()
}

func (f *Cluster) scheduleTick() {
	f.timer.Stop()
	f.timer = f.loop.At(f.node.NextTick(), func() {
		f.node.Tick(f.loop.Now())
		if f.loop.Now() >= f.shareAt+f.options.ProbeInterval {
			f.updateShare()
		}
		f.flush()
		f.logDrops()
		f.scheduleTick()
	})
}

func (f *Cluster) handleDatagram(b []byte) {
	f.Received++
	msg, err := membership.Decode(f.options.Cluster, b)
	switch {
	case err == nil:
		f.node.HandleMessage(f.loop.Now(), msg)
		f.flush()
	case errors.Is(err, membership.ErrOtherCluster):
		f.Drops[dropOtherCluster]++
	case errors.Is(err, membership.ErrUnknownFormat):
		f.Drops[dropUnknownFormat]++
	case errors.Is(err, membership.ErrOversized):
		f.Drops[dropOversized]++
	default:
		f.Drops[dropCorrupt]++
	}
}

// handlePause is told before anything else is done in a turn that comes late.
func (f *Cluster) handlePause(late float64) {
	if f.closed || f.waiting {
		return
	}
	f.log.Warn("fleet: this process has stood still; what it knew is looked at again", zap.Float64("late_s", late))
	if f.options.OnPause != nil {
		f.options.OnPause(late)
	}
	f.node.HandlePause(f.loop.Now())
	f.flush()
	f.scheduleTick()
}

// flush sends what the machine has to send, tells what has changed, and has the decisions know.
func (f *Cluster) flush() {
	for _, p := range f.node.TakePackets() {
		b, err := membership.Encode(p.Message)
		if err == nil {
			if err = f.socket.SendTo(p.To, b); err == nil {
				f.Sent++
				f.BytesSent += uint64(len(b))
				continue
			}
		}
		f.Unsent++ // a full buffer, no way there: as good as lost on the way
		f.log.Debug("fleet: not sent", zap.Stringer("to", p.To), zap.Error(err))
	}
	changes := f.node.TakeChanges()
	for _, c := range changes {
		f.logChange(c)
	}
	for _, s := range f.node.TakeConvergenceTimes() {
		f.lastConvergence = s
		alive, suspect, dead := f.node.CountByState()
		f.options.OnConverged(Convergence{s, alive, digest(f.node.Digest())})
		f.log.Info("fleet: settled", zap.Float64("after_s", s), zap.Int("alive", alive), zap.Int("suspect", suspect), zap.Int("dead", dead),
			zap.String("digest", digest(f.node.Digest())))
	}
	if len(changes) > 0 || f.recognized != f.node.Recognized() {
		f.updateShare()
	}
}

func (f *Cluster) logChange(c membership.Change) {
	fields := []zap.Field{zap.String("member", c.Name), zap.Stringer("is", c.To), zap.Uint64("incarnation", c.Incarnation), zap.String("cause", c.Cause)}
	if !c.New {
		fields = append(fields, zap.Stringer("was", c.From))
	}
	if c.Name == f.options.Name {
		f.log.Error("fleet: "+c.Cause, zap.String("member", c.Name))
		return
	}
	f.log.Info("fleet: change", fields...)
}

// updateShare works the place out anew.
func (f *Cluster) updateShare() {
	f.shareAt, f.recognized = f.loop.Now(), f.node.Recognized()
	v := f.node.View()
	f.updateLease(&v)
	p := f.calculator.Share(f.loop.Now(), &v)
	if p.Equal(&f.share) {
		return
	}
	was := f.share
	f.share = p
	f.onShare(p)
	if was.Instances == p.Instances && was.Fraction == p.Fraction && was.Reason == p.Reason {
		return // other names alone
	}
	f.log.Info("fleet: cold workers are shared", zap.Int("among", p.Instances), zap.Int("me", p.Index), zap.Float64("part", p.Fraction), zap.String("why", string(p.Reason)))
}

// Update has what has changed decided by at once.
func (f *Cluster) Update() {
	if !f.closed {
		f.updateShare()
	}
}

// Contacted says whether anybody else was heard from.
func (f *Cluster) Contacted() bool { return f.node.Contacted() }

// LeaseTerm is how long a lease lasts without a fresh word, in seconds.
func (f *Cluster) LeaseTerm() float64 { return f.options.LeaseTerm }

// ConfirmationAge is how long ago a word of discovery last confirmed what is known here, in seconds; -1: never.
func (f *Cluster) ConfirmationAge() float64 {
	at := f.options.Versions.LastConfirmed()
	if at <= 0 {
		return -1
	}
	return f.loop.Now() - at
}

// updateLease has the lease judged anew.
func (f *Cluster) updateLease(v *membership.View) {
	l := f.options.Versions.Lease
	was := l.State()
	if !f.options.Versions.UpdateLease(f.loop.Now(), v) {
		return
	}
	f.SetMetadata(f.options.Metadata)
	f.log.Warn("fleet: lease", zap.Stringer("is", l.State()), zap.String("why", l.Reason))
	if out := l.State() == lease.Out; out != (was == lease.Out) {
		f.options.OnLease(out, l.Reason)
	}
}

// IssueOrder shuts a member out, or brings it back, by whichever way reaches it. More than a third are not shut out at once.
func (f *Cluster) IssueOrder(member string, out bool) error {
	if f.socket == nil {
		return errors.New("fleet: not joined yet")
	}
	v := f.node.View()
	if err := f.options.Versions.IssueOrder(f.loop.Now(), &v, member, out); err != nil {
		return err
	}
	f.updateShare()
	f.GossipNow()
	return nil
}

// dropsLogInterval says once in a while what was dropped.
func (f *Cluster) logDrops() {
	if f.Drops == f.loggedDrops || f.loop.Now() < f.dropsLoggedAt+dropsLogInterval {
		return
	}
	f.dropsLoggedAt, f.loggedDrops = f.loop.Now(), f.Drops
	fields := []zap.Field{}
	for i, n := range f.Drops {
		fields = append(fields, zap.Uint64(DropNames[i], n))
	}
	f.log.Warn("fleet: datagrams dropped so far", fields...)
}

// GossipNow sends what the Board has to tell without waiting for the next step.
func (f *Cluster) GossipNow() {
	if f.socket != nil && !f.waiting && f.options.Versions.HasUrgent() {
		f.node.GossipNow(f.loop.Now())
		f.flush()
	}
}

// SetMetadata sets what is told of this member.
func (f *Cluster) SetMetadata(facts membership.Metadata) {
	facts.Lease = f.options.Versions.Lease.State()
	f.options.Metadata = facts
	f.node.SetMetadata(f.loop.Now(), facts)
}

// Leave tells the others that this dispatcher has stopped sending; Rejoin that it begins again.
func (f *Cluster) Leave() {
	if f.socket == nil {
		return
	}
	f.node.Leave(f.loop.Now())
	f.updateShare()
	f.flush()
}

// Rejoin takes a Leave back.
func (f *Cluster) Rejoin() {
	f.node.Rejoin(f.loop.Now())
	f.updateShare()
	if f.socket != nil {
		f.flush()
		f.scheduleTick()
	}
}

// DeclareLeft has a member that is dead count as one that has left, everywhere.
func (f *Cluster) DeclareLeft(name string) error {
	if f.socket == nil {
		return errors.New("fleet: not joined yet")
	}
	err := f.node.DeclareLeft(f.loop.Now(), name)
	f.updateShare()
	f.flush()
	return err
}

// Yield leaves the name and the address to the process that takes this one's place, without a word; Resume takes both back.
func (f *Cluster) Yield() {
	f.timer.Stop()
	if f.socket != nil {
		f.socket.Close()
		f.socket = nil
	}
	f.waiting = true
	f.share.Fraction, f.share.Reason = quota.CautiousFraction, quota.CutOff // the next one has the share
	f.onShare(f.share)
}

// Resume begins a new life under the name.
func (f *Cluster) Resume() { f.startNode() }

// SameIdentity says whether a member started by o would be this one but for seeds and rules, which Change takes.
func (f *Cluster) SameIdentity(o *Options) bool {
	w := &f.options
	return w.Cluster == o.Cluster && w.Name == o.Name && w.Bind == o.Bind && w.Advertise == o.Advertise && w.ProbeInterval == o.ProbeInterval && w.DeadTTL == o.DeadTTL && w.LeaseTerm == o.LeaseTerm
}

// SameBind says whether the address is this one's.
func (f *Cluster) SameBind(o *Options) bool { return f.options.Bind == o.Bind }

// UpdateOptions takes other seeds and rules.
func (f *Cluster) UpdateOptions(o Options) {
	f.options.Quota, f.calculator.Config = o.Quota, o.Quota
	if !slices.Equal(f.options.Seeds, o.Seeds) {
		f.options.Seeds = o.Seeds
		f.node.SetSeeds(f.loop.Now(), o.Seeds)
		if f.socket != nil {
			f.flush()
		}
	}
	f.updateShare()
}

// Release ends this member by word and gives its socket to whoever has the address next; nil where it had none.
func (f *Cluster) Release() *eventloop.UDPSocket {
	f.Leave()
	socket := f.socket
	f.socket, f.closed = nil, true
	f.timer.Stop()
	f.loop.OnLateWakeup = nil
	return socket
}

// Close ends this member by word.
func (f *Cluster) Close() {
	if s := f.Release(); s != nil {
		s.Close()
	}
}

// CountByState counts the members by state, this one among the living.
func (f *Cluster) CountByState() (alive, suspect, dead int) { return f.node.CountByState() }

// Stats are what the membership has counted.
func (f *Cluster) Stats() membership.Stats { return f.node.Stats }

// LastConvergence is how long the view took to settle the last time, in seconds; 0: it has not yet.
func (f *Cluster) LastConvergence() float64 { return f.lastConvergence }

// Share is among whom cold workers are shared.
func (f *Cluster) Share() quota.Share { return f.share }
