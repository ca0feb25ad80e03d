package state

import (
	"encoding/binary"
	"strconv"
	"time"

	"cinderroad/internal/shared/codec"
	"cinderroad/internal/system/feed"
)

// View is the content of partition 0 at a moment, the evacuations included. It is shared and must not be changed.
type View struct {
	Version uint64 // of the configuration; 0: there is none yet
	Values  Values
}

// Configuration is the state machine of partition 0: the operators' configuration and the evacuated zones. Its methods
// may be called concurrently.
type Configuration struct {
	store
	version            uint64           // of the current configuration
	evacuationRevision uint64           // log index of the last order about any zone
	accepted           []AcceptedChange // the history, see acceptedAt; each builds on the version of the one before
	oldest             int              // index of the oldest change in accepted once that is full, before 0
	// lastOrders has the log index of the last order about each zone since the last snapshot was restored. It is not
	// part of the replicated state.
	lastOrders map[string]uint64
	// restoredRevision is evacuationRevision of that snapshot; orders about any zone may have been applied up to it.
	restoredRevision uint64
}

// NewConfiguration returns an empty state. changed is called after each change of a key, with a lock held: it must
// neither block nor call the state. now is a monotonic clock, from which the age of items in the feed is computed.
func NewConfiguration(now func() time.Duration, changed func()) *Configuration {
	return &Configuration{
		store:      newStore(feed.ConfigurationPartition, now, changed),
		lastOrders: map[string]uint64{},
	}
}

// Apply applies a committed command and returns an encoded Result; see replica.StateMachine.
func (c *Configuration) Apply(index uint64, command []byte) []byte {
	decoded, err := decodeCommand(command)
	if err != nil {
		return Result{Outcome: OutcomeMalformed}.Encode()
	}
	switch decoded := decoded.(type) {
	case *CommitConfiguration:
		return c.applyCommit(index, decoded).Encode()
	case *SetEvacuation:
		return c.applyEvacuation(index, decoded).Encode()
	}
	return Result{Outcome: OutcomeMalformed}.Encode()
}

// applyCommit accepts a change that builds on the current version.
func (c *Configuration) applyCommit(index uint64, command *CommitConfiguration) Result {
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
	c.addAccepted(AcceptedChange{BaseVersion: command.BaseVersion, Version: command.Version, Digest: command.Digest})
	newVersion := Write{Key: feed.KeyVersion, Value: strconv.AppendUint(nil, command.Version, 10)}
	c.apply(index, append(command.Writes, newVersion))
	return Result{Outcome: OutcomeAccepted, Revision: command.Version}
}

// View returns the current content.
func (c *Configuration) View() View {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.view()
}

// view is View with the lock held.
func (c *Configuration) view() View { return View{Version: c.version, Values: c.values("")} }

// Version returns the current version of the configuration, 0 if there is none yet.
func (c *Configuration) Version() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.version
}

// snapshotFormat is the version of the snapshots' encoding, their first byte.
const snapshotFormat = 1

// whatConfigurationSnapshot names a snapshot in a FormatError.
const whatConfigurationSnapshot = "a snapshot of the configuration"

// Snapshot encodes the whole state.
func (c *Configuration) Snapshot() []byte {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	b := []byte{snapshotFormat}
	b = binary.AppendUvarint(b, c.version)
	b = binary.AppendUvarint(b, c.evacuationRevision)
	b = c.appendAccepted(b)
	return c.appendItems(b)
}

// Restore replaces the state by that of a snapshot. A malformed one is a *FormatError and changes nothing.
func (c *Configuration) Restore(_ uint64, snapshot []byte) error {
	reader := codec.NewCanonicalReader(snapshot)
	if reader.Byte("format") != snapshotFormat {
		return &FormatError{What: whatConfigurationSnapshot, Offset: 0}
	}
	version, revision := reader.Uvarint("version"), reader.Uvarint("evacuation revision")
	accepted := readAccepted(&reader, version)
	batch := readItems(&reader)
	if err := checkDecoded(&reader, whatConfigurationSnapshot); err != nil {
		return err
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.version = version
	c.evacuationRevision = revision
	c.accepted = accepted
	c.oldest = 0
	clear(c.lastOrders)
	c.restoredRevision = revision
	c.replace(batch)
	return nil
}
