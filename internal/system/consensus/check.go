package consensus

import "fmt"

// maxNumber bounds terms and indexes, so that adding to them never wraps around.
const maxNumber = 1 << 62

// InvalidMessageError says why a message, or a stored log, makes no sense.
type InvalidMessageError struct{ Reason string }

// Error says what happened.
func (e *InvalidMessageError) Error() string { return "consensus: " + e.Reason }

// validate tells what does not make sense in a message by itself.
func (m *Message) validate() error {
	if m.Kind > MessageTimeoutNow {
		return &InvalidMessageError{Reason: fmt.Sprintf("message of unknown kind %d", m.Kind)}
	}
	if m.Term == 0 {
		return &InvalidMessageError{Reason: "message without a term"}
	}
	if max(m.Term, m.Index, m.LogTerm) > maxNumber {
		return &InvalidMessageError{Reason: "message with a term or an index that can't be"}
	}
	if m.Kind == MessageAppend {
		return m.validateEntries()
	}
	if m.Kind == MessageInstallSnapshot {
		return m.validateSnapshot()
	}
	return nil
}

// validateEntries tells what does not make sense in entries that follow Index and LogTerm.
func (m *Message) validateEntries() error {
	if (m.Index == 0) != (m.LogTerm == 0) {
		return &InvalidMessageError{Reason: "place of entries makes no sense"}
	}
	index, term := m.Index, m.LogTerm
	for _, entry := range m.Entries {
		index++
		if entry.Index != index || entry.Term < term || entry.Term == 0 || entry.Kind > EntryMembership {
			return &InvalidMessageError{Reason: fmt.Sprintf("entry %d makes no sense after entry %d", entry.Index, index-1)}
		}
		term = entry.Term
		if entry.Kind != EntryMembership {
			continue
		}
		membership, err := DecodeMembership(entry.Data)
		if err != nil {
			return err
		}
		if err := membership.validate(); err != nil {
			return err
		}
	}
	if term > m.Term {
		return &InvalidMessageError{Reason: "entries are of a later term than their sender"}
	}
	return nil
}

func (m *Message) validateSnapshot() error {
	snapshot := m.Snapshot
	if snapshot == nil || snapshot.Index == 0 || snapshot.Term == 0 || snapshot.Term > m.Term || snapshot.Index > maxNumber {
		return &InvalidMessageError{Reason: "snapshot makes no sense"}
	}
	return snapshot.Membership.validate()
}
