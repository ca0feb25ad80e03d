package gossip

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"cinderroad/internal/shared/membership"
)

const (
	clusterName = "cinderroad"

	// DefaultProbeInterval is the default of Options.ProbeInterval.
	DefaultProbeInterval = 450 * time.Millisecond

	ticksPerProbe  = 2                // each one wakes the process up
	deadMemberTTL  = 10 * time.Minute // until a member that is dead or has left is removed
	pauseThreshold = 2.0              // probe intervals that a tick is late after a pause; below membership's, so that it is logged
	readBufferSize = 64 << 10         // bytes of datagrams that wait for a paused process
	clockOffset    = 1.0              // seconds on the node's clock at the start, since 0 means never there
	readErrorDelay = 50 * time.Millisecond
	maxNameLength  = membership.MaxNameLength
)

// Memberlist is this process's membership in the system and its view of the other members. Its methods are safe for
// concurrent use.
type Memberlist struct {
	options Options
	log     *zap.Logger
	conn    *net.UDPConn
	address netip.AddrPort
	epoch   time.Time     // zero of the node's clock, less clockOffset
	done    chan struct{} // closed when run has returned

	mutex           sync.Mutex
	node            *membership.Node
	metadata        membership.Metadata
	closed          bool
	readDeadline    float64 // of the socket, on the node's clock
	viewComplete    bool    // the node has been counted by the others once
	snapshot        snapshot
	isolation       isolation
	notifiedDigests digests // of the view that OnChange was last called for
}

// Start opens the socket and joins through the seeds. The caller ends it by Leave or Close. It returns a *ListenError
// if the socket cannot be opened.
func Start(options Options) (*Memberlist, error) {
	if options.ProbeInterval <= 0 {
		options.ProbeInterval = DefaultProbeInterval
	}
	if options.DeadProxyTTL <= 0 {
		options.DeadProxyTTL = DefaultDeadProxyTTL
	}
	if options.Log == nil {
		options.Log = zap.NewNop()
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(options.Listen))
	if err != nil {
		return nil, &ListenError{Address: options.Listen, Err: err}
	}
	_ = conn.SetReadBuffer(readBufferSize) // the kernel's default works as well
	list := &Memberlist{
		options: options,
		log:     options.Log,
		conn:    conn,
		address: conn.LocalAddr().(*net.UDPAddr).AddrPort(),
		epoch:   time.Now(),
		done:    make(chan struct{}),
	}
	list.metadata = membership.Metadata{
		Role:    string(options.Role),
		Zone:    options.Zone,
		Version: options.Version,
		Serving: string(Starting),
		Front:   options.Front,
	}
	list.node = membership.New(list.nodeOptions())
	list.node.Start(list.now())
	list.flush()
	go list.run()
	return list, nil
}

func (l *Memberlist) nodeOptions() membership.Options {
	return membership.Options{
		Cluster:       clusterName,
		Name:          memberName(l.options.Node, l.options.Role),
		Addr:          l.address,
		Seeds:         slices.Clone(l.options.Seeds),
		ProbeInterval: l.options.ProbeInterval.Seconds(),
		TicksPerProbe: ticksPerProbe,
		DeadTTL:       deadMemberTTL.Seconds(),
		Generation:    l.newGeneration(),
		RandomSeed:    rand.Uint64(),
		Metadata:      l.metadata,
	}
}

// newGeneration returns the number of this run of the process. A later run has a higher number, unless the clock was
// set back in between; the node then takes a higher one once it learns of the earlier run.
func (l *Memberlist) newGeneration() uint64 {
	if l.options.generation > 0 {
		return l.options.generation
	}
	return uint64(max(1, l.epoch.UnixMicro()))
}

// now returns the node's clock: monotonic, in seconds.
func (l *Memberlist) now() float64 { return time.Since(l.epoch).Seconds() + clockOffset }

// changedAt returns when a member's state changed, on the node's clock.
func (l *Memberlist) changedAt(member *Member) float64 {
	return member.Since.Sub(l.epoch).Seconds() + clockOffset
}

// timeOf converts a time on the node's clock.
func (l *Memberlist) timeOf(at float64) time.Time {
	return l.epoch.Add(time.Duration((at - clockOffset) * float64(time.Second)))
}

// run receives datagrams and ticks the node, until the socket is closed.
func (l *Memberlist) run() {
	defer close(l.done)
	buffer := make([]byte, membership.MaxDatagramSize+1)
	for {
		l.armDeadline()
		n, _, err := l.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		var timeout net.Error
		if err != nil && !(errors.As(err, &timeout) && timeout.Timeout()) {
			l.log.Debug("gossip receive failed", zap.Error(err))
			time.Sleep(readErrorDelay) // a lasting error must not spin the loop
		}
		var datagram []byte
		if err == nil {
			datagram = buffer[:n]
		}
		if l.step(datagram) && l.options.OnChange != nil {
			l.options.OnChange()
		}
	}
}

// armDeadline has the next read time out when the node's next tick is due.
func (l *Memberlist) armDeadline() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	next := l.node.NextTick()
	if next == l.readDeadline {
		return
	}
	l.readDeadline = next
	_ = l.conn.SetReadDeadline(l.timeOf(next)) // fails on a closed socket only, as the next read does
}

// step handles a datagram, nil if there is none, and ticks the node if a tick is due. It reports whether the view
// changed.
func (l *Memberlist) step(datagram []byte) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.now()
	if now > l.node.NextTick()+pauseThreshold*l.options.ProbeInterval.Seconds() {
		l.handlePause(now)
	}
	if datagram != nil {
		l.handleDatagram(now, datagram)
	}
	if now >= l.node.NextTick() {
		l.node.Tick(now)
	}
	if l.node.Recognized() {
		l.viewComplete = true
	}
	l.flush()
	l.isolation.update(now, isolationProbes*l.options.ProbeInterval.Seconds(), l.currentMembers, l.changedAt)
	return l.viewChanged()
}

// handlePause notifies the node that the process was paused, so that deadlines that passed meanwhile do not count against
// other members.
func (l *Memberlist) handlePause(now float64) {
	l.log.Warn("process was paused, verifying membership again", zap.Float64("late_s", now-l.node.NextTick()))
	l.node.HandlePause(now)
}

func (l *Memberlist) handleDatagram(now float64, datagram []byte) {
	message, err := membership.Decode(clusterName, datagram)
	if err != nil {
		l.log.Debug("datagram dropped", zap.Error(err))
		return
	}
	l.isolation.handleMessage(now, message)
	l.node.HandleMessage(now, message)
}

// flush sends the node's messages and logs the changes that it found.
func (l *Memberlist) flush() {
	for _, packet := range l.node.TakePackets() {
		l.send(packet)
	}
	for _, change := range l.node.TakeChanges() {
		l.logChange(change)
	}
	l.node.TakeConvergenceTimes()
}

// send sends a message of the node. An error counts as a loss on the network: the node sends again.
func (l *Memberlist) send(packet membership.Packet) {
	datagram, err := membership.Encode(packet.Message)
	if err != nil {
		return
	}
	_, _ = l.conn.WriteToUDPAddrPort(datagram, packet.To)
}

// logChange logs changes of control members at info level on control members. Edges come and go, and every member
// learns of all changes.
func (l *Memberlist) logChange(change membership.Change) {
	if change.New && change.To == membership.Alive {
		l.log.Debug("member joined", zap.String("member", change.Name))
		return
	}
	level := zap.DebugLevel
	if l.options.Role == Control && roleOf(change.Name) == Control {
		level = zap.InfoLevel
	}
	l.log.Log(level, "member state changed",
		zap.String("member", change.Name),
		zap.Stringer("from", change.From),
		zap.Stringer("to", change.To),
		zap.String("cause", change.Cause),
	)
}

// SetSeeds replaces the seeds. Known members stay known.
func (l *Memberlist) SetSeeds(seeds []netip.AddrPort) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.closed || slices.Equal(seeds, l.options.Seeds) {
		return
	}
	l.options.Seeds = slices.Clone(seeds)
	l.node.SetSeeds(l.now(), slices.Clone(seeds))
	l.flush()
}

// Address returns the address at which other members reach this one.
func (l *Memberlist) Address() netip.AddrPort { return l.address }

// Leave announces that this process ends, and closes the socket.
func (l *Memberlist) Leave() { l.shutdown(true) }

// Close closes the socket without an announcement: the others detect a failure.
func (l *Memberlist) Close() { l.shutdown(false) }

func (l *Memberlist) shutdown(announce bool) {
	l.mutex.Lock()
	if l.closed {
		l.mutex.Unlock()
		return
	}
	l.closed = true
	if announce {
		now := l.now()
		l.node.Announce(now, isControl)
		l.node.Leave(now)
		l.flush()
	}
	l.conn.Close()
	l.mutex.Unlock()
	<-l.done
}
