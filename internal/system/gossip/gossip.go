// Package gossip keeps the list of the system's processes: it joins the membership machine to a UDP socket, with one
// goroutine that receives and wakes when the machine's next step is due.
package gossip

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"cinderroad/internal/shared/membership"
	"cinderroad/internal/system/processconfig"
)

const (
	clusterName = "cinderroad"

	// DefaultProbeInterval is the time between two probes.
	DefaultProbeInterval = 450 * time.Millisecond

	ticksPerProbe  = 2                // looks at deadlines in a period: each one is a wake-up
	deadMemberTTL  = 10 * time.Minute // until a member that is dead or has left is dropped
	pauseThreshold = 2.0              // a step that is so many periods late: the process stood still
	readBufferSize = 64 << 10         // bytes of datagrams that may wait for a process that stands still
	clockOffset    = 1.0              // seconds on the machine's clock at the start, where 0 has a meaning
	readErrorDelay = 50 * time.Millisecond
	maxNameLength  = membership.MostName
)

// Role is what a member does.
type Role string

// The roles.
const (
	Edge    Role = "edge"    // an agent, beside a proxy
	Control Role = "control" // a control replica
)

// Serving says whether a member's process takes work from clients.
type Serving string

// The states of serving.
const (
	Starting   Serving = "starting"
	ServingNow Serving = "serving"
	Stopping   Serving = "stopping"
)

// Options are what a member starts with.
type Options struct {
	Node    string
	Role    Role
	Zone    string
	Zones   map[string]string // region of each zone
	Version string            // of the program
	Front   string            // address that clients use, if it is known at the start

	Listen      netip.AddrPort   // address of the socket, by which others reach it; port 0: one that the kernel picks
	Seeds       []netip.AddrPort // gossip addresses of members that may be there
	ControlPort uint16           // of control replicas, for agents
	AgentPort   uint16           // of agents, for other agents

	ProbeInterval time.Duration // 0: DefaultProbeInterval
	DeadProxyTTL  time.Duration // that a dead edge counts among the proxies that may be sending; 0: DefaultDeadProxyTTL
	Log           *zap.Logger   // nil: none
	OnChange      func()        // called on the gossip goroutine after the view or its facts changed; it must not block

	incarnation uint64 // number of the process's life; 0: by the time of day
}

// FromSettings returns the options of a process on a machine.
func FromSettings(settings *processconfig.Settings, role Role) Options {
	port := settings.Port(processconfig.GossipPort)
	return Options{
		Node:        settings.Node,
		Role:        role,
		Zone:        settings.Zone,
		Zones:       settings.Zones,
		Listen:      netip.AddrPortFrom(settings.IP, port),
		Seeds:       SeedAddresses(settings),
		ControlPort: settings.Port(processconfig.ControlRPCPort),
		AgentPort:   settings.Port(processconfig.AgentRPCPort),
	}
}

// SeedAddresses returns the gossip addresses of the settings' seeds.
func SeedAddresses(settings *processconfig.Settings) []netip.AddrPort {
	port := settings.Port(processconfig.GossipPort)
	addresses := make([]netip.AddrPort, 0, len(settings.SeedNodes))
	for _, seed := range settings.SeedNodes {
		addresses = append(addresses, netip.AddrPortFrom(seed.Addr(), port))
	}
	return addresses
}

// Stats count datagrams since the start.
type Stats struct {
	Sent, BytesSent, Unsent uint64
	Received, Dropped       uint64
	Slept                   uint64
}

// Memberlist is a member of the system. Its methods may be called from any goroutine.
type Memberlist struct {
	options Options
	log     *zap.Logger
	conn    *net.UDPConn
	address netip.AddrPort
	epoch   time.Time // of the machine's clock
	done    chan struct{}

	mutex           sync.Mutex
	node            *membership.Machine
	facts           membership.Facts
	stats           Stats
	closed          bool
	readDeadline    float64 // that the socket has, on the machine's clock
	viewComplete    bool    // the view has been complete once
	snapshot        snapshot
	isolation       isolation
	notifiedDigests digests // of the view that OnChange was last called for
}

// Start opens the socket and joins.
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
	_ = conn.SetReadBuffer(readBufferSize) // the kernel's own bound does as well
	g := &Memberlist{
		options: options,
		log:     options.Log,
		conn:    conn,
		address: conn.LocalAddr().(*net.UDPAddr).AddrPort(),
		epoch:   time.Now(),
		done:    make(chan struct{}),
	}
	g.facts = membership.Facts{
		Role:    string(options.Role),
		Zone:    options.Zone,
		Version: options.Version,
		Serving: string(Starting),
		Front:   options.Front,
	}
	g.node = membership.New(g.nodeOptions())
	g.node.Start(g.now())
	g.flush()
	go g.run()
	return g, nil
}

func (g *Memberlist) nodeOptions() membership.Options {
	return membership.Options{
		Fleet:  clusterName,
		Name:   memberName(g.options.Node, g.options.Role),
		Addr:   g.address,
		Seeds:  slices.Clone(g.options.Seeds),
		Period: g.options.ProbeInterval.Seconds(),
		Steps:  ticksPerProbe,
		Forget: deadMemberTTL.Seconds(),
		Life:   g.newIncarnation(),
		Seed:   rand.Uint64(),
		Facts:  g.facts,
	}
}

// newIncarnation is the number of this process's life: a later one has a higher number. The time of day may have been ahead in an
// earlier life; the machine outlives that one then.
func (g *Memberlist) newIncarnation() uint64 {
	if g.options.incarnation > 0 {
		return g.options.incarnation
	}
	return uint64(max(1, g.epoch.UnixMicro()))
}

// memberName names a process of a machine; a name that is too long is told apart by its end.
func memberName(node string, role Role) string {
	name := node + nameSeparator + string(role)
	if len(name) <= maxNameLength {
		return name
	}
	return fmt.Sprintf("%016x", membership.Key(node)) + name[len(name)-maxNameLength+16:]
}

// ListenError says that the socket could not be opened.
type ListenError struct {
	Address netip.AddrPort
	Err     error
}

// Error says what happened and what to do.
func (e *ListenError) Error() string {
	return fmt.Sprintf("gossip: cannot listen on UDP %s, check that no other process has the address: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }

// now is the machine's clock: steady, in seconds.
func (g *Memberlist) now() float64 { return time.Since(g.epoch).Seconds() + clockOffset }

// changedAt is when a member's state changed, on the machine's clock.
func (g *Memberlist) changedAt(member *Member) float64 {
	return member.Since.Sub(g.epoch).Seconds() + clockOffset
}

func (g *Memberlist) timeOf(at float64) time.Time {
	return g.epoch.Add(time.Duration((at - clockOffset) * float64(time.Second)))
}

// run receives, and does the machine's steps when they are due.
func (g *Memberlist) run() {
	defer close(g.done)
	buffer := make([]byte, membership.MostBytes+1)
	for {
		g.armDeadline()
		n, _, err := g.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		var timeout net.Error
		if err != nil && !(errors.As(err, &timeout) && timeout.Timeout()) {
			g.log.Debug("gossip receive failed", zap.Error(err))
			time.Sleep(readErrorDelay) // not for each turn of an error that lasts
		}
		var datagram []byte
		if err == nil {
			datagram = buffer[:n]
		}
		if g.step(datagram) && g.options.OnChange != nil {
			g.options.OnChange()
		}
	}
}

// armDeadline has the read end when the machine's next step is due.
func (g *Memberlist) armDeadline() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	next := g.node.Next()
	if next == g.readDeadline {
		return
	}
	g.readDeadline = next
	_ = g.conn.SetReadDeadline(g.timeOf(next)) // fails on a closed socket only, as the read will
}

// step takes a datagram, if there is one, and does the step that is due. It says whether the view changed.
func (g *Memberlist) step(datagram []byte) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.now()
	if now > g.node.Next()+pauseThreshold*g.options.ProbeInterval.Seconds() {
		g.handlePause(now)
	}
	if datagram != nil {
		g.handleDatagram(now, datagram)
	}
	if now >= g.node.Next() {
		g.node.Tick(now)
	}
	if g.node.Counted() {
		g.viewComplete = true
	}
	g.flush()
	g.isolation.update(now, isolationProbes*g.options.ProbeInterval.Seconds(), g.currentMembers, g.changedAt)
	return g.viewChanged()
}

// handlePause has the machine look again at all that it was waiting for while the process stood still.
func (g *Memberlist) handlePause(now float64) {
	g.stats.Slept++
	g.log.Warn("process stood still, membership is checked again", zap.Float64("late_s", now-g.node.Next()))
	g.node.Slept(now)
}

func (g *Memberlist) handleDatagram(now float64, datagram []byte) {
	g.stats.Received++
	message, err := membership.Decode(clusterName, datagram)
	if err != nil {
		g.stats.Dropped++
		g.log.Debug("datagram dropped", zap.Error(err))
		return
	}
	g.isolation.handleMessage(now, message)
	g.node.Receive(now, message)
}

// flush sends what the machine has to send and logs what it found.
func (g *Memberlist) flush() {
	for _, packet := range g.node.Out() {
		g.send(packet)
	}
	for _, change := range g.node.Changes() {
		g.logChange(change)
	}
	g.node.Settlings()
}

func (g *Memberlist) send(packet membership.Packet) {
	datagram, err := membership.Encode(packet.Msg)
	if err == nil {
		_, err = g.conn.WriteToUDPAddrPort(datagram, packet.To)
	}
	if err != nil { // as good as lost on the way: the machine asks again
		g.stats.Unsent++
		return
	}
	g.stats.Sent++
	g.stats.BytesSent += uint64(len(datagram))
}

// logChange tells operators of control members, on control members; edges come and go, and each member hears of all.
func (g *Memberlist) logChange(change membership.Change) {
	if change.New && change.To == membership.Alive {
		g.log.Debug("member joined", zap.String("member", change.Name))
		return
	}
	level := zap.DebugLevel
	if g.options.Role == Control && roleOf(change.Name) == Control {
		level = zap.InfoLevel
	}
	g.log.Log(level, "member changed", zap.String("member", change.Name), zap.Stringer("was", change.From),
		zap.Stringer("is", change.To), zap.String("cause", change.Cause))
}

// SetServing tells the others whether this process takes work from clients; control replicas hear it at once.
func (g *Memberlist) SetServing(serving Serving) {
	g.setFacts(func(facts *membership.Facts) { facts.Serving = string(serving) })
}

// SetFront tells the others the address that clients use.
func (g *Memberlist) SetFront(front string) {
	g.setFacts(func(facts *membership.Facts) { facts.Front = front })
}

func (g *Memberlist) setFacts(alter func(*membership.Facts)) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	was := g.facts
	alter(&g.facts)
	if g.facts == was || g.closed {
		return
	}
	now := g.now()
	g.node.SetFacts(now, g.facts)
	g.node.Announce(now, isControl)
	g.flush()
}

func isControl(record *membership.Record) bool {
	return record.FactsOf != nil && record.FactsOf.Role == string(Control)
}

// SetSeeds sets other seeds; members that are known stay so.
func (g *Memberlist) SetSeeds(seeds []netip.AddrPort) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.closed || slices.Equal(seeds, g.options.Seeds) {
		return
	}
	g.options.Seeds = slices.Clone(seeds)
	g.node.Seek(g.now(), slices.Clone(seeds))
	g.flush()
}

// Address is where others reach this member.
func (g *Memberlist) Address() netip.AddrPort { return g.address }

// Stats returns the counts.
func (g *Memberlist) Stats() Stats {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.stats
}

// Leave tells the others that this process ends, and closes the socket.
func (g *Memberlist) Leave() { g.shutdown(true) }

// Close closes the socket without a word: the others find the member dead.
func (g *Memberlist) Close() { g.shutdown(false) }

func (g *Memberlist) shutdown(announce bool) {
	g.mutex.Lock()
	if g.closed {
		g.mutex.Unlock()
		return
	}
	g.closed = true
	if announce {
		now := g.now()
		g.node.Announce(now, isControl)
		g.node.Leave(now)
		g.flush()
	}
	g.conn.Close()
	g.mutex.Unlock()
	<-g.done
}
