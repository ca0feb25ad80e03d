package state

import (
	"encoding/binary"
	"strconv"
	"strings"
	"time"

	"cinderroad/internal/feed"
)

// RingSize is how many accepted changes are remembered, by whose digests a request that is sent again is recognized.
const RingSize = 1024

// AcceptedChange is a change of the configuration that was taken.
type AcceptedChange struct {
	BasedOn, Version uint64
	Digest           Digest
}

// Base is partition 0 at a moment, the evacuations included.
type Base struct {
	Version uint64 // of the configuration; 0: there is none yet
	Values  Values
}

// Configuration is the state machine of partition 0.
type Configuration struct {
	store
	version            uint64
	evacuationsChanged uint64 // index of the last change to any evacuation
	ring               []AcceptedChange
	oldest             int // place in a full ring
	byDigest           map[Digest]uint64
}

// NewConfiguration returns an empty state. Changed is called after each change, from Apply or Restore; now is the
// steady clock.
func NewConfiguration(now func() time.Duration, changed func()) *Configuration {
	return &Configuration{
		store:    newStore(feed.ConfigurationPartition, now, changed),
		byDigest: map[Digest]uint64{},
	}
}

// Apply takes an agreed command and returns an encoded Result.
func (c *Configuration) Apply(index uint64, command []byte) []byte {
	decoded, err := decode(command)
	if err != nil {
		return Result{Outcome: Unreadable}.Encode()
	}
	switch decoded := decoded.(type) {
	case *CommitConfiguration:
		return c.commit(index, decoded).Encode()
	case *SetEvacuation:
		return c.setEvacuation(index, decoded).Encode()
	}
	return Result{Outcome: Unreadable}.Encode()
}

func (c *Configuration) commit(index uint64, command *CommitConfiguration) Result {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if version, known := c.byDigest[command.Digest]; known {
		return Result{Outcome: AlreadyAccepted, Number: version}
	}
	if command.BasedOn != c.version || command.Version <= c.version {
		return Result{Outcome: Conflict, Number: c.version}
	}
	c.version = command.Version
	c.remember(AcceptedChange{BasedOn: command.BasedOn, Version: command.Version, Digest: command.Digest})
	version := Write{Key: feed.KeyVersion, Value: strconv.AppendUint(nil, command.Version, 10)}
	c.apply(index, append(command.Writes, version))
	return Result{Outcome: Accepted, Number: command.Version}
}

// remember puts a change into the ring, in place of the oldest one.
func (c *Configuration) remember(change AcceptedChange) {
	c.byDigest[change.Digest] = change.Version
	if len(c.ring) < RingSize {
		c.ring = append(c.ring, change)
		return
	}
	delete(c.byDigest, c.ring[c.oldest].Digest)
	c.ring[c.oldest] = change
	c.oldest = (c.oldest + 1) % RingSize
}

func (c *Configuration) setEvacuation(index uint64, command *SetEvacuation) Result {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if command.Seen != c.evacuationsChanged {
		return Result{Outcome: Conflict, Number: c.evacuationsChanged}
	}
	key := feed.KeyEvacuation + command.Zone
	if c.holds(key) == command.On {
		return Result{Outcome: AlreadyAccepted, Number: c.evacuationsChanged}
	}
	c.evacuationsChanged = index
	c.apply(index, []Write{{Key: key, Value: []byte{}, Deleted: !command.On}})
	return Result{Outcome: Accepted, Number: index}
}

// Accepted returns the version that the request with the digest was given, if it was taken.
func (c *Configuration) Accepted(digest Digest) (uint64, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	version, known := c.byDigest[digest]
	return version, known
}

// Base returns what is in force here.
func (c *Configuration) Base() Base {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return Base{Version: c.version, Values: c.values("")}
}

// Version returns that of the configuration in force here.
func (c *Configuration) Version() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.version
}

// Evacuated says whether a zone is evacuated, and what a SetEvacuation must have seen.
func (c *Configuration) Evacuated(zone string) (on bool, seen uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.holds(feed.KeyEvacuation + zone), c.evacuationsChanged
}

// EvacuatedZones returns the zones that are evacuated, by name.
func (c *Configuration) EvacuatedZones() []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var zones []string
	for _, item := range c.values(feed.KeyEvacuation) {
		zones = append(zones, strings.TrimPrefix(item.Key, feed.KeyEvacuation))
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
	b = binary.AppendUvarint(b, uint64(len(c.ring)))
	for i := range c.ring {
		change := &c.ring[(c.oldest+i)%len(c.ring)]
		b = binary.AppendUvarint(b, change.BasedOn)
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
	ring := r.ring()
	batch, ok := r.table()
	if !ok {
		return &FormatError{What: "a snapshot of the configuration", Offset: r.at}
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.version, c.evacuationsChanged = version, evacuationsChanged
	c.ring, c.oldest = nil, 0
	clear(c.byDigest)
	for _, change := range ring {
		c.remember(change)
	}
	c.replace(batch)
	return nil
}

func (r *reader) ring() []AcceptedChange {
	n := r.length()
	if n > RingSize {
		r.bad = true
		return nil
	}
	ring := make([]AcceptedChange, 0, n)
	for range n {
		change := AcceptedChange{BasedOn: r.number(), Version: r.number()}
		copy(change.Digest[:], r.take(DigestSize))
		ring = append(ring, change)
	}
	return ring
}
