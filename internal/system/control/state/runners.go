package state

import (
	"encoding/binary"
	"time"

	"cinderroad/internal/shared/codec"
	"cinderroad/internal/system/feed"
)

// Runners is the state machine of a partition of runners. Its methods may be called concurrently.
type Runners struct {
	store
	revision uint64 // log index of the last accepted command
}

// NewRunners returns an empty state. changed is called after each change, with a lock held: it must neither block nor
// call the state. now is a monotonic clock, from which the age of items in the feed is computed.
func NewRunners(partition feed.Partition, now func() time.Duration, changed func()) *Runners {
	return &Runners{store: newStore(partition, now, changed)}
}

// Apply applies a committed command and returns an encoded Result; see replica.StateMachine.
func (r *Runners) Apply(index uint64, command []byte) []byte {
	decoded, err := decodeCommand(command)
	if err != nil {
		return Result{Outcome: OutcomeMalformed}.Encode()
	}
	writes, ok := decoded.(*WriteRunners)
	if !ok {
		return Result{Outcome: OutcomeMalformed}.Encode()
	}
	return r.applyWrites(index, writes).Encode()
}

// applyWrites accepts a command whose proposer has seen the last one.
func (r *Runners) applyWrites(index uint64, command *WriteRunners) Result {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if command.ExpectedRevision != r.revision {
		return Result{Outcome: OutcomeConflict, Revision: r.revision}
	}
	r.revision = index
	r.apply(index, command.Writes)
	return Result{Outcome: OutcomeAccepted, Revision: index}
}

// Revision returns what a WriteRunners that is based on the present state must expect.
func (r *Runners) Revision() uint64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.revision
}

// whatRunnersSnapshot names a snapshot in a FormatError.
const whatRunnersSnapshot = "a snapshot of runners"

// Snapshot encodes the whole state.
func (r *Runners) Snapshot() []byte {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	b := []byte{snapshotFormat}
	b = binary.AppendUvarint(b, r.revision)
	return r.appendItems(b)
}

// Restore replaces the state by that of a snapshot. A malformed one is a *FormatError and changes nothing.
func (r *Runners) Restore(_ uint64, snapshot []byte) error {
	reader := codec.NewCanonicalReader(snapshot)
	if reader.Byte("format") != snapshotFormat {
		return &FormatError{What: whatRunnersSnapshot, Offset: 0}
	}
	revision := reader.Uvarint("revision")
	batch := readItems(&reader)
	if err := checkDecoded(&reader, whatRunnersSnapshot); err != nil {
		return err
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.revision = revision
	r.replace(batch)
	return nil
}
