package consensus

import (
	"encoding/binary"

	"cinderroad/internal/shared/codec"
)

// The encodings are canonical: what decodes has one encoding only. Numbers are unsigned varints, byte fields follow their
// length, and nothing may follow the last field.

// encodingVersion is the first byte of encoded messages and memberships.
const encodingVersion = 1

// Flags of an encoded message.
const (
	flagReject = 1 << iota
	flagForce
	flagSnapshot
	knownFlags = flagReject | flagForce | flagSnapshot
)

// Flags of an encoded member.
const (
	flagVoter = 1 << iota
	flagOutgoing
	knownMemberFlags = flagVoter | flagOutgoing
)

// Minimum sizes of encoded elements in bytes, against which counts are checked before memory is allocated.
const (
	minEntrySize  = 4
	minMemberSize = 5
)

// EncodeMembership returns the encoding of a membership, which is that in an entry's Data.
func EncodeMembership(membership Membership) []byte { return AppendMembership(nil, membership) }

// AppendMembership appends the encoding of a membership.
func AppendMembership(b []byte, membership Membership) []byte {
	b = append(b, encodingVersion)
	b = binary.AppendUvarint(b, uint64(len(membership.Members)))
	for _, member := range membership.Members {
		b = binary.AppendUvarint(b, uint64(member.ID))
		b = codec.AppendBytes(b, member.Node)
		b = codec.AppendBytes(b, member.Zone)
		b = codec.AppendBytes(b, member.Address)
		b = append(b, memberFlags(member))
	}
	return b
}

// memberFlags returns the encoded flags of a member.
func memberFlags(member Member) (flags byte) {
	if member.Voter {
		flags |= flagVoter
	}
	if member.Outgoing {
		flags |= flagOutgoing
	}
	return flags
}

// DecodeMembership decodes what EncodeMembership returned. The error is a *DecodeError, as are those of the other
// decoders.
func DecodeMembership(b []byte) (Membership, error) {
	reader := codec.NewCanonicalReader(b)
	membership := readMembership(&reader)
	return membership, decodeError(&reader)
}

// EncodeHardState returns the encoding of a hard state.
func EncodeHardState(hardState HardState) []byte { return AppendHardState(nil, hardState) }

// AppendHardState appends the encoding of a hard state.
func AppendHardState(b []byte, hardState HardState) []byte {
	b = binary.AppendUvarint(b, hardState.Term)
	b = binary.AppendUvarint(b, uint64(hardState.Vote))
	return binary.AppendUvarint(b, hardState.Commit)
}

// DecodeHardState decodes what EncodeHardState returned.
func DecodeHardState(b []byte) (HardState, error) {
	reader := codec.NewCanonicalReader(b)
	hardState := HardState{
		Term:   reader.Uvarint("term"),
		Vote:   ReplicaID(reader.Uvarint("vote")),
		Commit: reader.Uvarint("commit index"),
	}
	return hardState, decodeError(&reader)
}

// EncodeEntry returns the encoding of an entry.
func EncodeEntry(entry Entry) []byte { return AppendEntry(nil, entry) }

// AppendEntry appends the encoding of an entry.
func AppendEntry(b []byte, entry Entry) []byte {
	b = binary.AppendUvarint(b, entry.Index)
	b = binary.AppendUvarint(b, entry.Term)
	b = append(b, byte(entry.Kind))
	return codec.AppendBytes(b, entry.Data)
}

// DecodeEntry decodes what EncodeEntry returned. The entry does not share memory with b.
func DecodeEntry(b []byte) (Entry, error) {
	reader := codec.NewCanonicalReader(b)
	entry := readEntry(&reader)
	return entry, decodeError(&reader)
}

// EncodeSnapshot returns the encoding of a snapshot.
func EncodeSnapshot(snapshot Snapshot) []byte { return AppendSnapshot(nil, snapshot) }

// AppendSnapshot appends the encoding of a snapshot.
func AppendSnapshot(b []byte, snapshot Snapshot) []byte {
	b = binary.AppendUvarint(b, snapshot.Index)
	b = binary.AppendUvarint(b, snapshot.Term)
	b = AppendMembership(b, snapshot.Membership)
	return codec.AppendBytes(b, snapshot.Data)
}

// DecodeSnapshot decodes what EncodeSnapshot returned. The snapshot does not share memory with b.
func DecodeSnapshot(b []byte) (Snapshot, error) {
	reader := codec.NewCanonicalReader(b)
	snapshot := readSnapshot(&reader)
	return snapshot, decodeError(&reader)
}

// EncodeMessage returns the encoding of a message.
func EncodeMessage(message Message) []byte { return AppendMessage(nil, message) }

// AppendMessage appends the encoding of a message.
func AppendMessage(b []byte, message Message) []byte {
	b = append(b, encodingVersion, byte(message.Kind), message.flags())
	for _, number := range message.numbers() {
		b = binary.AppendUvarint(b, *number)
	}
	b = binary.AppendUvarint(b, uint64(len(message.Entries)))
	for _, entry := range message.Entries {
		b = AppendEntry(b, entry)
	}
	if message.Snapshot != nil {
		b = AppendSnapshot(b, *message.Snapshot)
	}
	return b
}

// DecodeMessage decodes what EncodeMessage returned. The message does not share memory with b.
func DecodeMessage(b []byte) (Message, error) {
	reader := codec.NewCanonicalReader(b)
	message := readMessage(&reader)
	return message, decodeError(&reader)
}

func (m *Message) flags() (flags byte) {
	if m.Reject {
		flags |= flagReject
	}
	if m.Force {
		flags |= flagForce
	}
	if m.Snapshot != nil {
		flags |= flagSnapshot
	}
	return flags
}

// numberNames are the names of the fields that numbers returns.
var numberNames = [...]string{"sender", "receiver", "term", "index", "log term", "commit index", "reject hint", "round"}

// numbers returns the fields that are encoded as varints, in the order of the encoding.
func (m *Message) numbers() [8]*uint64 {
	return [...]*uint64{(*uint64)(&m.From), (*uint64)(&m.To), &m.Term, &m.Index, &m.LogTerm, &m.Commit, &m.RejectHint, &m.Round}
}

// decodeError returns the *DecodeError of the first malformed field, or nil. It comes after the last field: bytes that
// follow are malformed.
func decodeError(r *codec.Reader) error {
	r.ExpectEnd("end")
	if field, failed := r.Malformed(); failed {
		return &DecodeError{Field: field, Offset: r.Offset()}
	}
	return nil
}

// readByteUpTo reads a byte that is malformed above a maximum.
func readByteUpTo(r *codec.Reader, field string, maximum byte) byte {
	value := r.Byte(field)
	if value > maximum {
		r.Fail(field)
		return 0
	}
	return value
}

func readVersion(r *codec.Reader) {
	if r.Byte("version") != encodingVersion {
		r.Fail("version")
	}
}

// readData reads bytes into memory of their own; the empty field is nil.
func readData(r *codec.Reader) []byte { return append([]byte(nil), r.Bytes("data")...) }

func readMembership(r *codec.Reader) (membership Membership) {
	readVersion(r)
	count := r.CountOf("number of members", minMemberSize)
	if count == 0 {
		return membership
	}
	membership.Members = make([]Member, count)
	for i := range membership.Members {
		member := &membership.Members[i]
		member.ID = ReplicaID(r.Uvarint("id of a member"))
		member.Node = r.String("node of a member")
		member.Zone = r.String("zone of a member")
		member.Address = r.String("address of a member")
		flags := readByteUpTo(r, "flags of a member", knownMemberFlags)
		member.Voter = flags&flagVoter != 0
		member.Outgoing = flags&flagOutgoing != 0
	}
	return membership
}

func readEntry(r *codec.Reader) Entry {
	return Entry{
		Index: r.Uvarint("index of an entry"),
		Term:  r.Uvarint("term of an entry"),
		Kind:  EntryKind(readByteUpTo(r, "kind of an entry", byte(EntryMembership))),
		Data:  readData(r),
	}
}

func readSnapshot(r *codec.Reader) Snapshot {
	return Snapshot{
		Index:      r.Uvarint("index of a snapshot"),
		Term:       r.Uvarint("term of a snapshot"),
		Membership: readMembership(r),
		Data:       readData(r),
	}
}

func readMessage(r *codec.Reader) (message Message) {
	readVersion(r)
	message.Kind = MessageKind(readByteUpTo(r, "kind of message", byte(MessageTimeoutNow)))
	flags := readByteUpTo(r, "flags of a message", knownFlags)
	message.Reject = flags&flagReject != 0
	message.Force = flags&flagForce != 0
	for i, number := range message.numbers() {
		*number = r.Uvarint(numberNames[i])
	}
	count := r.CountOf("number of entries", minEntrySize)
	if count > 0 {
		message.Entries = make([]Entry, count)
	}
	for i := range message.Entries {
		message.Entries[i] = readEntry(r)
	}
	if flags&flagSnapshot != 0 {
		snapshot := readSnapshot(r)
		message.Snapshot = &snapshot
	}
	return message
}
