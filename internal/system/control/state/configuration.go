package state

import (
	"cmp"
	"encoding/binary"
	"sort"
	"strconv"
	"strings"
	"time"

	"cinderroad/internal/system/feed"
)

// RetainedChanges is how many accepted changes are remembered. A request that is sent again is recognized among them;
// of one that builds on an older version it is not known any more whether it was accepted, see Forgotten. Each takes 32
// bytes of memory and about 22 of a snapshot.
const RetainedChanges = 4096

// AcceptedChange is a change of the configuration that was accepted.
type AcceptedChange struct {
	BaseVersion, Version uint64
	Digest               Digest
}

// Verdict says how a request to change the configuration stands against the changes that were accepted before. Once a
// replica gives Taken or Superseded, every replica gives the same or Forgotten from then on, since versions only rise: a
// replica that lags never gives either wrongly.
type Verdict uint8

// The verdicts.
const (
	VerdictOpen       Verdict = iota // its base is in force: the request may be accepted
	VerdictAccepted                  // it was accepted
	VerdictSuperseded                // its base is not in force any more or never will be: the request is never accepted
	VerdictPremature                 // its base is not in force yet; it may come to be, and the request be accepted then
	VerdictForgotten                 // its base is older than all changes that are remembered: it may have been accepted
)

// RequestStatus is how a request stands here.
type RequestStatus struct {
	Verdict Verdict
	// Version is the one that the request was given if it is Taken, and else the one in force.
	Version uint64
	Base    View // what the request builds on if it is Open
}

// Evacuation is what this replica knows of the orders about a zone.
type Evacuation struct {
	Evacuated bool
	// Revision is what a SetEvacuation that is decided by this must name: the log's index of the last order about any zone.
	Revision uint64
	// LastOrder rises with each order about this zone that this replica applies, those that changed nothing included. It
	// may rise without one, but does not stay where there was one.
	LastOrder uint64
}

// View is partition 0 at a moment, the evacuations included.
type View struct {
	Version uint64 // of the configuration; 0: there is none yet
	Values  Values
}

// Configuration is the state machine of partition 0.
type Configuration struct {
	store
	version            uint64
	evacuationsChanged uint64           // index of the last order about any zone
	accepted           []AcceptedChange // a ring, by rising base: each builds on the version of the one before
	oldest             int              // place in a full ring
	// Of the orders applied since the last snapshot was restored, the last about each zone; not part of the agreed state.
	zoneOrders  map[string]uint64
	ordersFloor uint64 // evacuationsChanged of that snapshot
}

// NewConfiguration returns an empty state. Changed is called after each change, from Apply or Restore; now is the
// steady clock.
func NewConfiguration(now func() time.Duration, changed func()) *Configuration {
	return &Configuration{
		store:      newStore(feed.ConfigurationPartition, now, changed),
		zoneOrders: map[string]uint64{},
	}
}

// Apply takes an agreed command and returns an encoded Result.
func (c *Configuration) Apply(index uint64, command []byte) []byte {
	decoded, err := decode(command)
	if err != nil {
		return Result{Outcome: OutcomeMalformed}.Encode()
	}
	switch decoded := decoded.(type) {
	case *CommitConfiguration:
		return c.commit(index, decoded).Encode()
	case *SetEvacuation:
		return c.setEvacuation(index, decoded).Encode()
	}
	return Result{Outcome: OutcomeMalformed}.Encode()
}

func (c *Configuration) commit(index uint64, command *CommitConfiguration) Result {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	verdict, version := c.judge(command.BaseVersion, command.Digest)
	switch {
	case verdict == VerdictAccepted:
		return Result{Outcome: OutcomeAlreadyAccepted, Revision: version}
	case verdict == VerdictForgotten:
		return Result{Outcome: OutcomeForgotten, Revision: c.version}
	case verdict != VerdictOpen || command.Version <= c.version:
		return Result{Outcome: OutcomeConflict, Revision: c.version}
	}
	c.version = command.Version
	c.remember(AcceptedChange{BaseVersion: command.BaseVersion, Version: command.Version, Digest: command.Digest})
	newVersion := Write{Key: feed.KeyVersion, Value: strconv.AppendUint(nil, command.Version, 10)}
	c.apply(index, append(command.Writes, newVersion))
	return Result{Outcome: OutcomeAccepted, Revision: command.Version}
}

// judge returns how a request stands, and the version that Standing tells with that. The lock is held.
func (c *Configuration) judge(basedOn uint64, digest Digest) (Verdict, uint64) {
	switch {
	case basedOn == c.version:
		return VerdictOpen, c.version
	case basedOn > c.version:
		return VerdictPremature, c.version
	}
	change, found := c.acceptedOn(basedOn)
	switch {
	case found && change.Digest == digest:
		return VerdictAccepted, change.Version
	case found || basedOn > c.acceptedAt(0).BaseVersion:
		return VerdictSuperseded, c.version
	}
	return VerdictForgotten, c.version
}

// acceptedOn is the change that was accepted on a base, if it is remembered. The lock is held.
func (c *Configuration) acceptedOn(basedOn uint64) (AcceptedChange, bool) {
	place, found := sort.Find(len(c.accepted), func(i int) int { return cmp.Compare(basedOn, c.acceptedAt(i).BaseVersion) })
	if !found {
		return AcceptedChange{}, false
	}
	return *c.acceptedAt(place), true
}

// acceptedAt is one of the changes that are remembered, 0 the oldest. The lock is held.
func (c *Configuration) acceptedAt(i int) *AcceptedChange {
	return &c.accepted[(c.oldest+i)%len(c.accepted)]
}

// remember puts a change into the ring, in place of the oldest one.
func (c *Configuration) remember(change AcceptedChange) {
	if len(c.accepted) < RetainedChanges {
		c.accepted = append(c.accepted, change)
		return
	}
	c.accepted[c.oldest] = change
	c.oldest = (c.oldest + 1) % RetainedChanges
}

// setEvacuation takes an order about a zone. One that finds the zone as it wants it counts as an order all the same, so
// that an earlier one that is still under way can't undo it once it is acknowledged.
func (c *Configuration) setEvacuation(index uint64, command *SetEvacuation) Result {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if command.ExpectedRevision != c.evacuationsChanged {
		return Result{Outcome: OutcomeConflict, Revision: c.evacuationsChanged}
	}
	c.evacuationsChanged = index
	c.zoneOrders[command.Zone] = index
	key := feed.KeyPrefixEvacuation + command.Zone
	if c.holds(key) == command.Evacuated {
		return Result{Outcome: OutcomeAlreadyAccepted, Revision: index}
	}
	c.apply(index, []Write{{Key: key, Value: []byte{}, Deleted: !command.Evacuated}})
	return Result{Outcome: OutcomeAccepted, Revision: index}
}

// CheckRequest returns how a request with the base and digest stands here.
func (c *Configuration) CheckRequest(basedOn uint64, digest Digest) RequestStatus {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	verdict, version := c.judge(basedOn, digest)
	standing := RequestStatus{Verdict: verdict, Version: version}
	if verdict == VerdictOpen {
		standing.Base = c.view()
	}
	return standing
}

// View returns what is in force here.
func (c *Configuration) View() View {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.view()
}

func (c *Configuration) view() View { return View{Version: c.version, Values: c.values("")} }

// Version returns that of the configuration in force here.
func (c *Configuration) Version() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.version
}

// Evacuation returns what this replica knows of a zone.
func (c *Configuration) Evacuation(zone string) Evacuation {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return Evacuation{
		Evacuated: c.holds(feed.KeyPrefixEvacuation + zone),
		Revision:  c.evacuationsChanged,
		LastOrder: max(c.zoneOrders[zone], c.ordersFloor),
	}
}

// EvacuatedZones returns the zones that are evacuated, by name.
func (c *Configuration) EvacuatedZones() []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var zones []string
	for _, item := range c.values(feed.KeyPrefixEvacuation) {
		zones = append(zones, strings.TrimPrefix(item.Key, feed.KeyPrefixEvacuation))
	}
	return zones
}

// snapshotFormat is the version of the snapshots' encoding, their first byte.
const snapshotFormat = 1

// Snapshot encodes the whole state.
func (c *Configuration) Snapshot() []byte {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	b := []byte{snapshotFormat}
	b = binary.AppendUvarint(b, c.version)
	b = binary.AppendUvarint(b, c.evacuationsChanged)
	b = binary.AppendUvarint(b, uint64(len(c.accepted)))
	for i := range c.accepted {
		change := c.acceptedAt(i)
		b = binary.AppendUvarint(b, change.BaseVersion)
		b = binary.AppendUvarint(b, change.Version)
		b = append(b, change.Digest[:]...)
	}
	return c.appendTo(b)
}

// Restore replaces the state by a snapshot's.
func (c *Configuration) Restore(_ uint64, snapshot []byte) error {
	r := reader{bytes: snapshot}
	if r.byte() != snapshotFormat {
		return &FormatError{What: "a snapshot of the configuration", Offset: 0}
	}
	version, evacuationsChanged := r.number(), r.number()
	accepted := r.acceptedChanges(version)
	batch, ok := r.table()
	if !ok {
		return &FormatError{What: "a snapshot of the configuration", Offset: r.at}
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.version, c.evacuationsChanged = version, evacuationsChanged
	c.accepted, c.oldest = accepted, 0
	clear(c.zoneOrders)
	c.ordersFloor = evacuationsChanged
	c.replace(batch)
	return nil
}

// acceptedChanges reads the changes that led to a version, each of which builds on the one before.
func (r *reader) acceptedChanges(version uint64) []AcceptedChange {
	n := r.length()
	if n > RetainedChanges {
		r.bad = true
		return nil
	}
	changes := make([]AcceptedChange, 0, n)
	for i := range n {
		change := AcceptedChange{BaseVersion: r.number(), Version: r.number()}
		copy(change.Digest[:], r.take(DigestSize))
		r.bad = r.bad || change.Version <= change.BaseVersion || i > 0 && change.BaseVersion != changes[i-1].Version
		changes = append(changes, change)
	}
	last := uint64(0)
	if n > 0 {
		last = changes[n-1].Version
	}
	r.bad = r.bad || last != version
	return changes
}
