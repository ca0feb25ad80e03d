package state

import (
	"encoding/binary"
	"time"

	"cinderroad/internal/system/feed"
)

// Runners is the state machine of a partition of runners.
type Runners struct {
	store
	revision uint64 // index of the last change
}

// NewRunners returns an empty state. Changed is called after each change, from Apply or Restore; now is the steady
// clock.
func NewRunners(partition feed.Partition, now func() time.Duration, changed func()) *Runners {
	return &Runners{store: newStore(partition, now, changed)}
}

// Apply takes an agreed command and returns an encoded Result.
func (s *Runners) Apply(index uint64, command []byte) []byte {
	decoded, err := decode(command)
	if err != nil {
		return Result{Outcome: OutcomeMalformed}.Encode()
	}
	writes, ok := decoded.(*WriteRunners)
	if !ok {
		return Result{Outcome: OutcomeMalformed}.Encode()
	}
	return s.write(index, writes).Encode()
}

func (s *Runners) write(index uint64, command *WriteRunners) Result {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if command.ExpectedRevision != s.revision {
		return Result{Outcome: OutcomeConflict, Revision: s.revision}
	}
	s.revision = index
	s.apply(index, command.Writes)
	return Result{Outcome: OutcomeAccepted, Revision: index}
}

// Revision is the index of the last change, which a WriteRunners must have seen.
func (s *Runners) Revision() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.revision
}

// Snapshot encodes the whole state.
func (s *Runners) Snapshot() []byte {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	b := []byte{snapshotFormat}
	b = binary.AppendUvarint(b, s.revision)
	return s.appendTo(b)
}

// Restore replaces the state by a snapshot's.
func (s *Runners) Restore(_ uint64, snapshot []byte) error {
	r := reader{bytes: snapshot}
	if r.byte() != snapshotFormat {
		return &FormatError{What: "a snapshot of runners", Offset: 0}
	}
	changed := r.number()
	batch, ok := r.table()
	if !ok {
		return &FormatError{What: "a snapshot of runners", Offset: r.at}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision = changed
	s.replace(batch)
	return nil
}
