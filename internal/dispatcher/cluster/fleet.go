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
	bindAgain  = 0.1  // seconds between two tries at an address that the process before this one still holds
	tellDrops  = 60.0 // seconds between two lines about datagrams that were dropped
	sleptLeast = 0.5  // seconds of a sleep that counts, at least
	sleptShare = 2.0  // and periods
)

// Options are what a member is told.
type Options struct {
	Fleet, Name     string
	Bind, Advertise netip.AddrPort
	Seeds           []netip.AddrPort
	Period, Forget  float64 // seconds
	Lease           float64 // seconds
	Seed            uint64
	Facts           membership.Metadata
	Rules           quota.Rules
	Board           *versions.Board            // who holds which list; not nil
	Leased          func(out bool, why string) // this dispatcher may take new work no more, or again
	Settled         func(Settled)
	Slept           func(late float64) // this process has stood still; called before anything else in that turn
}

// Settled is that the view has settled.
type Settled struct {
	After  float64 // seconds
	Alive  int
	Digest string
}

// Fleet is this dispatcher's part in its fleet.
type Fleet struct {
	Sent, Received, Unsent uint64
	BytesSent              uint64
	Drops                  [drops]uint64

	loop    *eventloop.Loop
	log     *zap.Logger
	options Options
	use     func(quota.Place) // who decides by the place
	machine *membership.Node
	divisor *quota.Divisor
	socket  *eventloop.UDPSocket
	timer   *eventloop.Timer
	place   quota.Place
	placeAt float64
	counted bool
	waits   bool // for the address, or for the process that has the name to give it back
	closed  bool
	told    [drops]uint64 // of Drops, in the log
	toldAt  float64
	settled float64 // how long the last settling took
}

// Reasons for which datagrams are dropped.
const (
	dropForeign = iota
	dropBroken
	dropFormat
	dropOversized
	drops
)

// DropNames name them.
var DropNames = [drops]string{"foreign", "broken", "format", "oversized"}

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
func Start(loop *eventloop.Loop, log *zap.Logger, o Options, socket *eventloop.UDPSocket, use func(quota.Place)) *Fleet {
	f := &Fleet{loop: loop, log: log, options: o, use: use, socket: socket}
	loop.LateWakeupSeconds = math.Max(sleptLeast, sleptShare*o.Period)
	loop.OnLateWakeup = f.slept
	f.begin()
	return f
}

// begin starts a life as a member.
func (f *Fleet) begin() {
	o := &f.options
	f.machine = membership.New(membership.Options{Cluster: o.Fleet, Name: o.Name, Addr: o.Advertise, Seeds: o.Seeds, ProbeInterval: o.Period,
		DeadTTL: o.Forget, Generation: uint64(f.loop.Now() * 1e6), RandomSeed: o.Seed, Metadata: o.Facts, Delegate: o.Board})
	o.Board.Near = func(member string) bool { return f.machine.Zone(member) == o.Facts.Zone }
	f.divisor = quota.New(o.Rules)
	o.Board.Lease.ProbeInterval, o.Board.Lease.Term = o.Period, o.Lease
	f.divide()
	if f.socket == nil {
		f.rebind()
		return
	}
	f.open()
}

// rebind tries for the address until the process that holds it lets go.
func (f *Fleet) rebind() {
	if f.closed {
		return
	}
	socket, err := Bind(f.loop, f.options.Bind)
	if socket == nil {
		if !f.waits || err != nil {
			f.log.Warn("fleet: the address is taken, waiting for it", zap.Stringer("bind", f.options.Bind), zap.Error(err))
		}
		f.waits = true
		f.timer = f.loop.At(f.loop.Now()+bindAgain, f.rebind)
		return
	}
	f.waits, f.socket = false, socket
	f.open()
}

func (f *Fleet) open() {
	f.socket.SetHandler(f.receive)
	f.log.Info("fleet: member", zap.String("fleet", f.options.Fleet), zap.String("name", f.options.Name),
		zap.Stringer("bind", f.options.Bind), zap.Stringer("advertise", f.options.Advertise), zap.Uint64("life", f.machine.Generation))
	f.machine.Start(f.loop.Now())
	f.pump()
	f.arm()
}

func (f *Fleet) arm() {
	f.timer.Stop()
	f.timer = f.loop.At(f.machine.NextTick(), func() {
		f.machine.Tick(f.loop.Now())
		if f.loop.Now() >= f.placeAt+f.options.Period {
			f.divide()
		}
		f.pump()
		f.tellDrops()
		f.arm()
	})
}

func (f *Fleet) receive(b []byte) {
	f.Received++
	msg, err := membership.Decode(f.options.Fleet, b)
	switch {
	case err == nil:
		f.machine.HandleMessage(f.loop.Now(), msg)
		f.pump()
	case errors.Is(err, membership.ErrOtherCluster):
		f.Drops[dropForeign]++
	case errors.Is(err, membership.ErrUnknownFormat):
		f.Drops[dropFormat]++
	case errors.Is(err, membership.ErrOversized):
		f.Drops[dropOversized]++
	default:
		f.Drops[dropBroken]++
	}
}

// slept is told before anything else is done in a turn that comes late.
func (f *Fleet) slept(late float64) {
	if f.closed || f.waits {
		return
	}
	f.log.Warn("fleet: this process has stood still; what it knew is looked at again", zap.Float64("late_s", late))
	if f.options.Slept != nil {
		f.options.Slept(late)
	}
	f.machine.HandlePause(f.loop.Now())
	f.pump()
	f.arm()
}

// pump sends what the machine has to send, tells what has changed, and has the decisions know.
func (f *Fleet) pump() {
	for _, p := range f.machine.TakePackets() {
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
	changes := f.machine.TakeChanges()
	for _, c := range changes {
		f.tell(c)
	}
	for _, s := range f.machine.TakeConvergenceTimes() {
		f.settled = s
		alive, suspect, dead := f.machine.CountByState()
		f.options.Settled(Settled{s, alive, digest(f.machine.Digest())})
		f.log.Info("fleet: settled", zap.Float64("after_s", s), zap.Int("alive", alive), zap.Int("suspect", suspect), zap.Int("dead", dead),
			zap.String("digest", digest(f.machine.Digest())))
	}
	if len(changes) > 0 || f.counted != f.machine.Recognized() {
		f.divide()
	}
}

func (f *Fleet) tell(c membership.Change) {
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

// divide works the place out anew.
func (f *Fleet) divide() {
	f.placeAt, f.counted = f.loop.Now(), f.machine.Recognized()
	v := f.machine.View()
	f.judge(&v)
	p := f.divisor.Place(f.loop.Now(), &v)
	if p.Equal(&f.place) {
		return
	}
	was := f.place
	f.place = p
	f.use(p)
	if was.Instances == p.Instances && was.Part == p.Part && was.Why == p.Why {
		return // other names alone
	}
	f.log.Info("fleet: cold workers are shared", zap.Int("among", p.Instances), zap.Int("me", p.Me), zap.Float64("part", p.Part), zap.String("why", string(p.Why)))
}

// Judge has what has changed decided by at once.
func (f *Fleet) Judge() {
	if !f.closed {
		f.divide()
	}
}

// Met says whether anybody else was heard from.
func (f *Fleet) Met() bool { return f.machine.Contacted() }

// Lease is how long a lease lasts without a fresh word, in seconds.
func (f *Fleet) Lease() float64 { return f.options.Lease }

// WordAge is how long ago a word of discovery last confirmed what is known here, in seconds; -1: never.
func (f *Fleet) WordAge() float64 {
	at := f.options.Board.Word()
	if at <= 0 {
		return -1
	}
	return f.loop.Now() - at
}

// judge has the lease judged anew.
func (f *Fleet) judge(v *membership.View) {
	l := f.options.Board.Lease
	was := l.State()
	if !f.options.Board.Judge(f.loop.Now(), v) {
		return
	}
	f.SetFacts(f.options.Facts)
	f.log.Warn("fleet: lease", zap.Stringer("is", l.State()), zap.String("why", l.Reason))
	if out := l.State() == lease.Out; out != (was == lease.Out) {
		f.options.Leased(out, l.Reason)
	}
}

// Order shuts a member out, or brings it back, by whichever way reaches it. More than a third are not shut out at once.
func (f *Fleet) Order(member string, out bool) error {
	if f.socket == nil {
		return errors.New("fleet: not joined yet")
	}
	v := f.machine.View()
	if err := f.options.Board.Order(f.loop.Now(), &v, member, out); err != nil {
		return err
	}
	f.divide()
	f.Urge()
	return nil
}

// tellDrops says once in a while what was dropped.
func (f *Fleet) tellDrops() {
	if f.Drops == f.told || f.loop.Now() < f.toldAt+tellDrops {
		return
	}
	f.toldAt, f.told = f.loop.Now(), f.Drops
	fields := []zap.Field{}
	for i, n := range f.Drops {
		fields = append(fields, zap.Uint64(DropNames[i], n))
	}
	f.log.Warn("fleet: datagrams dropped so far", fields...)
}

// Urge sends what the Board has to tell without waiting for the next step.
func (f *Fleet) Urge() {
	if f.socket != nil && !f.waits && f.options.Board.HasUrgent() {
		f.machine.GossipNow(f.loop.Now())
		f.pump()
	}
}

// SetFacts sets what is told of this member.
func (f *Fleet) SetFacts(facts membership.Metadata) {
	facts.Lease = f.options.Board.Lease.State()
	f.options.Facts = facts
	f.machine.SetMetadata(f.loop.Now(), facts)
}

// Leave tells the others that this dispatcher has stopped sending; Rejoin that it begins again.
func (f *Fleet) Leave() {
	if f.socket == nil {
		return
	}
	f.machine.Leave(f.loop.Now())
	f.divide()
	f.pump()
}

// Rejoin takes a Leave back.
func (f *Fleet) Rejoin() {
	f.machine.Rejoin(f.loop.Now())
	f.divide()
	if f.socket != nil {
		f.pump()
		f.arm()
	}
}

// Declare has a member that is dead count as one that has left, everywhere.
func (f *Fleet) Declare(name string) error {
	if f.socket == nil {
		return errors.New("fleet: not joined yet")
	}
	err := f.machine.DeclareLeft(f.loop.Now(), name)
	f.divide()
	f.pump()
	return err
}

// Yield leaves the name and the address to the process that takes this one's place, without a word; Resume takes both back.
func (f *Fleet) Yield() {
	f.timer.Stop()
	if f.socket != nil {
		f.socket.Close()
		f.socket = nil
	}
	f.waits = true
	f.place.Part, f.place.Why = quota.Cautious, quota.CutOff // the next one has the share
	f.use(f.place)
}

// Resume begins a new life under the name.
func (f *Fleet) Resume() { f.begin() }

// Same says whether a member started by o would be this one but for seeds and rules, which Change takes.
func (f *Fleet) Same(o *Options) bool {
	w := &f.options
	return w.Fleet == o.Fleet && w.Name == o.Name && w.Bind == o.Bind && w.Advertise == o.Advertise && w.Period == o.Period && w.Forget == o.Forget && w.Lease == o.Lease
}

// SameBind says whether the address is this one's.
func (f *Fleet) SameBind(o *Options) bool { return f.options.Bind == o.Bind }

// Change takes other seeds and rules.
func (f *Fleet) Change(o Options) {
	f.options.Rules, f.divisor.Rules = o.Rules, o.Rules
	if !slices.Equal(f.options.Seeds, o.Seeds) {
		f.options.Seeds = o.Seeds
		f.machine.SetSeeds(f.loop.Now(), o.Seeds)
		if f.socket != nil {
			f.pump()
		}
	}
	f.divide()
}

// Release ends this member by word and gives its socket to whoever has the address next; nil where it had none.
func (f *Fleet) Release() *eventloop.UDPSocket {
	f.Leave()
	socket := f.socket
	f.socket, f.closed = nil, true
	f.timer.Stop()
	f.loop.OnLateWakeup = nil
	return socket
}

// Close ends this member by word.
func (f *Fleet) Close() {
	if s := f.Release(); s != nil {
		s.Close()
	}
}

// Census counts the members by state, this one among the living.
func (f *Fleet) Census() (alive, suspect, dead int) { return f.machine.CountByState() }

// Counts are what the membership has counted.
func (f *Fleet) Counts() membership.Stats { return f.machine.Stats }

// LastSettling is how long the view took to settle the last time, in seconds; 0: it has not yet.
func (f *Fleet) LastSettling() float64 { return f.settled }

// Place is among whom cold workers are shared.
func (f *Fleet) Place() quota.Place { return f.place }
