package cluster

import (
	"errors"
	"math"
	"slices"

	"go.uber.org/zap"

	"cinderroad/internal/dispatcher/cluster/quota"
	"cinderroad/internal/shared/eventloop"
	"cinderroad/internal/shared/membership"
)

// ErrNotJoined is returned while the socket could not be opened yet.
var ErrNotJoined = errors.New("fleet: not joined yet")

// Cluster is this dispatcher's membership in its cluster.
type Cluster struct {
	Sent      uint64 // datagrams
	Received  uint64 // datagrams
	Unsent    uint64 // datagrams that the socket did not take
	BytesSent uint64
	Drops     [dropReasons]uint64 // datagrams received and dropped, by reason; see DropNames

	loop            *eventloop.Loop
	log             *zap.Logger
	options         Options
	onShare         func(quota.Share) // called with each change of the share
	node            *membership.Node
	calculator      *quota.Calculator
	socket          *eventloop.UDPSocket
	timer           *eventloop.Timer
	share           quota.Share
	shareAt         float64             // time of the last updateShare
	recognized      bool                // by the node, at shareAt
	waiting         bool                // the socket is not open: the address is in use, or the name was yielded
	closed          bool                // by Release; the Cluster does nothing any more
	loggedDrops     [dropReasons]uint64 // value of Drops that was last logged
	dropsLoggedAt   float64
	lastConvergence float64 // seconds that the last convergence took
}

// Start joins the cluster. socket comes from Bind and is nil if the address is in use: then Start retries. onShare is
// called at once and with each change of the share.
func Start(loop *eventloop.Loop, log *zap.Logger, options Options, socket *eventloop.UDPSocket, onShare func(quota.Share)) *Cluster {
	cluster := &Cluster{loop: loop, log: log, options: options, onShare: onShare, socket: socket}
	loop.LateWakeupSeconds = math.Max(minPauseSeconds, minPauseProbes*options.ProbeInterval)
	loop.OnLateWakeup = cluster.handlePause
	cluster.startNode()
	return cluster
}

// generationsPerSecond makes a generation the start in microseconds of Unix time: a later start has a higher generation.
const generationsPerSecond = 1e6

// startNode starts a new generation of the node.
func (c *Cluster) startNode() {
	options := &c.options
	c.node = membership.New(membership.Options{
		Cluster:       options.Cluster,
		Name:          options.Name,
		Addr:          options.Advertise,
		Seeds:         options.Seeds,
		ProbeInterval: options.ProbeInterval,
		DeadTTL:       options.DeadTTL,
		Generation:    uint64(c.loop.Now() * generationsPerSecond),
		RandomSeed:    options.RandomSeed,
		Metadata:      options.Metadata,
		Delegate:      options.Versions,
	})
	options.Versions.SameZone = func(member string) bool { return c.node.Zone(member) == options.Metadata.Zone }
	c.calculator = quota.New(options.Quota)
	options.Versions.Lease.ProbeInterval = options.ProbeInterval
	options.Versions.Lease.Term = options.LeaseTerm
	c.updateShare()
	if c.socket == nil {
		c.retryBind()
		return
	}
	c.join()
}

// join starts the node on the open socket.
func (c *Cluster) join() {
	c.socket.SetHandler(c.handleDatagram)
	c.log.Info("membership: joined",
		zap.String("cluster", c.options.Cluster),
		zap.String("name", c.options.Name),
		zap.Stringer("bind", c.options.Bind),
		zap.Stringer("advertise", c.options.Advertise),
		zap.Uint64("generation", c.node.Generation))
	c.node.Start(c.loop.Now())
	c.flush()
	c.scheduleTick()
}

// Contacted reports whether a message of another member has come.
func (c *Cluster) Contacted() bool { return c.node.Contacted() }

// SetMetadata sets what this member publishes, except for the lease, which the Cluster fills in. Others learn of it with the
// next messages.
func (c *Cluster) SetMetadata(metadata membership.Metadata) {
	metadata.Lease = c.options.Versions.Lease.State()
	c.options.Metadata = metadata
	c.node.SetMetadata(c.loop.Now(), metadata)
}

// Leave announces that this dispatcher has stopped sending. Rejoin undoes it.
func (c *Cluster) Leave() {
	if c.socket == nil {
		return
	}
	c.node.Leave(c.loop.Now())
	c.updateShare()
	c.flush()
}

// Rejoin undoes Leave.
func (c *Cluster) Rejoin() {
	c.node.Rejoin(c.loop.Now())
	c.updateShare()
	if c.socket != nil {
		c.flush()
		c.scheduleTick()
	}
}

// DeclareLeft marks a dead member as left, at all members. It returns ErrNotJoined, or an error if the member is not
// dead.
func (c *Cluster) DeclareLeft(name string) error {
	if c.socket == nil {
		return ErrNotJoined
	}
	err := c.node.DeclareLeft(c.loop.Now(), name)
	c.updateShare()
	c.flush()
	return err
}

// Yield leaves name and address to the process that replaces this one, without an announcement. Resume takes both back.
func (c *Cluster) Yield() {
	c.timer.Stop()
	if c.socket != nil {
		c.socket.Close()
		c.socket = nil
	}
	c.waiting = true
	c.share.Fraction = quota.CautiousFraction // the next process has the share
	c.share.Reason = quota.CutOff
	c.onShare(c.share)
}

// Resume joins again after Yield, as a new generation.
func (c *Cluster) Resume() { c.startNode() }

// SameIdentity reports whether options differ from the current ones at most in what UpdateOptions changes.
func (c *Cluster) SameIdentity(options *Options) bool {
	own := &c.options
	return own.Cluster == options.Cluster &&
		own.Name == options.Name &&
		own.Bind == options.Bind &&
		own.Advertise == options.Advertise &&
		own.ProbeInterval == options.ProbeInterval &&
		own.DeadTTL == options.DeadTTL &&
		own.LeaseTerm == options.LeaseTerm
}

// SameBind reports whether options have this member's address.
func (c *Cluster) SameBind(options *Options) bool { return c.options.Bind == options.Bind }

// UpdateOptions applies other seeds and another configuration of shares.
func (c *Cluster) UpdateOptions(options Options) {
	c.options.Quota = options.Quota
	c.calculator.Config = options.Quota
	if !slices.Equal(c.options.Seeds, options.Seeds) {
		c.options.Seeds = options.Seeds
		c.node.SetSeeds(c.loop.Now(), options.Seeds)
		if c.socket != nil {
			c.flush()
		}
	}
	c.updateShare()
}

// Release leaves the cluster and returns the socket for the next member at the address, nil if there is none.
func (c *Cluster) Release() *eventloop.UDPSocket {
	c.Leave()
	socket := c.socket
	c.socket = nil
	c.closed = true
	c.timer.Stop()
	c.loop.OnLateWakeup = nil
	return socket
}

// Close leaves the cluster and closes the socket.
func (c *Cluster) Close() {
	if s := c.Release(); s != nil {
		s.Close()
	}
}

// CountByState returns the number of members in each state, this one among the alive.
func (c *Cluster) CountByState() (alive, suspect, dead int) { return c.node.CountByState() }

// Stats returns the membership's counts.
func (c *Cluster) Stats() membership.Stats { return c.node.Stats }

// LastConvergence returns the seconds that the view's last convergence took, 0 if there was none.
func (c *Cluster) LastConvergence() float64 { return c.lastConvergence }
