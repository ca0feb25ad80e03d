package httpfront

import (
	"maps"
	"math/rand/v2"
	"net/netip"
	"os"
	"slices"
	"strconv"

	"go.uber.org/zap"

	"cinderroad/internal/dispatcher/dispatch"
	"cinderroad/internal/shared/eventloop"
	"cinderroad/loadbalancer"
)

// DiscoveryClient watches discovery's list for as long as the process runs and passes every change to the dispatcher at
// once. The exported callbacks may be nil.
type DiscoveryClient struct {
	BadLines   uint64 // malformed lines: the list stayed as it was
	BadEntries uint64 // invalid entries: the rest of their line was used
	Watches    uint64 // connections opened
	Rejections uint64 // watches that an overloaded discovery rejected
	Instances  int    // dispatchers that ask the same discovery

	// OnVersion is called when a version of the list from addr is in force.
	OnVersion      func(addr netip.AddrPort, rev int64, cached bool, changed []Entry)
	OnContact      func() // discovery has sent something, if only a keep-alive
	OnFirstContact func() // the first version since the start is in force

	loop        *eventloop.Loop
	log         *zap.Logger
	address     netip.AddrPort // by the latest configuration
	dispatcher  *dispatch.Dispatcher
	pool        *Pool
	zones       []string // names of the settings, by index
	kinds       []string // names of the settings, by index
	revision    int64
	entries     map[string]Entry // the list in force, by UID
	current     *watch           // has sent the list in force; nil before the first and between two watches
	pending     *watch           // at a new address that has not sent its list yet
	retryTimer  *eventloop.Timer
	failures    int // in a row
	rng         *rand.Rand
	lastContact float64 // 0: none yet
}

// NewDiscoveryClient returns a client that does nothing before Start or StartWithList.
func NewDiscoveryClient(
	loop *eventloop.Loop,
	log *zap.Logger,
	address netip.AddrPort,
	dispatcher *dispatch.Dispatcher,
	pool *Pool,
	zones, kinds []string,
	seed uint64,
) *DiscoveryClient {
	return &DiscoveryClient{
		loop:       loop,
		log:        log,
		address:    address,
		dispatcher: dispatcher,
		pool:       pool,
		zones:      zones,
		kinds:      kinds,
		entries:    map[string]Entry{},
		rng:        rand.New(rand.NewPCG(seed, uint64(os.Getpid()))),
	}
}

// Revision returns the version of the list in force.
func (c *DiscoveryClient) Revision() int64 { return c.revision }

// LastContact returns when discovery last sent anything, if only a keep-alive; 0: never.
func (c *DiscoveryClient) LastContact() float64 { return c.lastContact }

// List returns the list in force and the address it is from, for the process that replaces this one.
func (c *DiscoveryClient) List() (address netip.AddrPort, list List) {
	list = List{Revision: c.revision, Full: true}
	for _, uid := range slices.Sorted(maps.Keys(c.entries)) {
		list.Entries = append(list.Entries, c.entries[uid])
	}
	return c.address, list
}

// Start uses the list of an earlier run, which may be outdated, and opens a watch at once: backends on it may have
// departed. Where many clients start together, discovery serves them in turn, and those it rejects back off.
func (c *DiscoveryClient) Start(list List) { c.StartWithList(c.address, list) }

// StartWithList is Start with a list that another process had from address.
func (c *DiscoveryClient) StartWithList(address netip.AddrPort, list List) {
	c.apply(address, list, loadbalancer.ListCached)
	if address == c.address { // at once, since an upgrade waits for it
		c.current = c.openWatch(streamOnly)
	} else { // versions of two addresses do not compare
		c.pending = c.openWatch(fullListFirst)
	}
}

// SetAddress opens a watch at another address. The list in force, and the watch that sent it, stay until the new address
// has sent its full list, which it may never do.
func (c *DiscoveryClient) SetAddress(address netip.AddrPort) {
	if address == c.address {
		return
	}
	c.address = address
	c.failures = 0
	c.retryTimer.Stop()
	if c.pending != nil {
		c.pending.close()
		c.pending = nil
	}
	if c.current == nil || c.current.address != address { // else the address is the current watch's again
		c.pending = c.openWatch(fullListFirst)
	}
}

// Watch implements dispatch.Discovery: the watch is always on.
func (c *DiscoveryClient) Watch(bool) {}

// Fetch implements dispatch.Discovery: the watch requests the full list by itself.
func (c *DiscoveryClient) Fetch() {}

func (c *DiscoveryClient) notifyFirstContact() {
	if c.OnFirstContact != nil {
		c.OnFirstContact()
		c.OnFirstContact = nil
	}
}

// countBadEntries counts invalid entries and logs the first: one log line for each line of discovery.
func (c *DiscoveryClient) countBadEntries(bad []error) {
	if len(bad) == 0 {
		return
	}
	c.BadEntries += uint64(len(bad))
	c.log.Warn("discovery: invalid entry ignored, others applied", zap.Error(bad[0]), zap.Int("entries", len(bad)),
		zap.Uint64("total", c.BadEntries))
}

// apply puts a version of the list from address in force. OnVersion is called last: restrictions that it lifts stay in
// force until the dispatcher has this version.
func (c *DiscoveryClient) apply(address netip.AddrPort, list List, kind loadbalancer.ListKind) {
	c.revision = list.Revision
	cached := kind == loadbalancer.ListCached
	if kind == loadbalancer.ListFull {
		// The list is complete only for this front: workers that another front lists stay, so departures are explicit.
		c.addDepartures(&list)
		kind = loadbalancer.ListDelta
	}
	members := make([]dispatch.Member, 0, len(list.Entries))
	listed := map[loadbalancer.WorkerID]bool{}
	for _, entry := range list.Entries {
		if known, ok := c.entries[entry.UID]; ok && entry.State == stateGone {
			// The last entry may lack what deduplication needs, such as the cell: it departs with the entry in force.
			entry = known
			entry.State = stateGone
		}
		member := c.newMember(&entry)
		members = append(members, member)
		listed[member.ID] = member.State != loadbalancer.Departed
		if listed[member.ID] {
			c.entries[entry.UID] = entry
		} else {
			delete(c.entries, entry.UID)
		}
	}
	c.log.Info("discovery: list updated", zap.Int64("rev", list.Revision), zap.Bool("full", list.Full), zap.Int("entries", len(members)))
	c.dispatcher.UpdateMembers(kind, members)
	if c.OnVersion != nil {
		c.OnVersion(address, list.Revision, cached, list.Entries)
	}
	c.pool.removeDeparted(listed)
}

// addDepartures adds an entry for each backend in force that a full list does not name.
func (c *DiscoveryClient) addDepartures(list *List) {
	missing := maps.Clone(c.entries)
	for _, entry := range list.Entries {
		delete(missing, entry.UID)
	}
	for _, uid := range list.droppedUIDs { // an invalid entry: the backend stays as it was
		delete(missing, uid)
	}
	for _, uid := range slices.Sorted(maps.Keys(missing)) {
		list.Entries = append(list.Entries, Entry{UID: uid, State: stateGone})
	}
}

// newMember returns the dispatcher's member for an entry.
func (c *DiscoveryClient) newMember(entry *Entry) dispatch.Member {
	worker := loadbalancer.Worker{
		ID:        c.dispatcher.WorkerID(entry.UID),
		Zone:      indexOf(c.zones, entry.Zone),
		Kind:      indexOf(c.kinds, entry.Kind),
		Cell:      entry.Cell,
		State:     workerStates[entry.State],
		Weight:    entry.Weight,
		StartedAt: entry.StartedAtMs / 1000,
	}
	endpoint, _ := netip.ParseAddrPort(entry.Endpoint)
	return dispatch.Member{
		Worker:  worker,
		Backend: c.pool.ensureBackend(worker.ID, entry.UID, endpoint),
		Name:    entry.UID,
	}
}

// indexOf returns the index of a name among the settings' names, or reads the name as an index; -1: neither.
func indexOf(names []string, name string) int {
	for i, n := range names {
		if n == name {
			return i
		}
	}
	if i, err := strconv.Atoi(name); err == nil && i >= 0 && i < len(names) {
		return i
	}
	return -1
}
