package consensus

import (
	"encoding/binary"
	"math"
)

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

// Least sizes of encoded parts, against which counts are checked before memory is taken.
const (
	leastEntry  = 4
	leastMember = 5
)

// EncodeMembership returns the bytes of a membership, as in an entry's Data.
func EncodeMembership(membership Membership) []byte { return AppendMembership(nil, membership) }

// AppendMembership appends the bytes of a membership.
func AppendMembership(b []byte, membership Membership) []byte {
	b = append(b, encodingVersion)
	b = binary.AppendUvarint(b, uint64(len(membership.Members)))
	for _, member := range membership.Members {
		b = binary.AppendUvarint(b, uint64(member.ID))
		b = appendBytes(b, member.Node)
		b = appendBytes(b, member.Zone)
		b = appendBytes(b, member.Address)
		b = append(b, memberFlags(member))
	}
	return b
}

// memberFlags are the votes of a member as they are encoded.
func memberFlags(member Member) (flags byte) {
	if member.Voter {
		flags |= flagVoter
	}
	if member.Outgoing {
		flags |= flagOutgoing
	}
	return flags
}

// DecodeMembership reads what EncodeMembership wrote, and nothing else.
func DecodeMembership(b []byte) (Membership, error) {
	d := decoder{b: b}
	s := d.membership()
	return s, d.end()
}

// EncodeHardState returns the bytes of a hard state.
func EncodeHardState(hardState HardState) []byte { return AppendHardState(nil, hardState) }

// AppendHardState appends the bytes of a hard state.
func AppendHardState(b []byte, hardState HardState) []byte {
	b = binary.AppendUvarint(b, hardState.Term)
	b = binary.AppendUvarint(b, uint64(hardState.Vote))
	return binary.AppendUvarint(b, hardState.Commit)
}

// DecodeHardState reads what EncodeHardState wrote, and nothing else.
func DecodeHardState(b []byte) (HardState, error) {
	d := decoder{b: b}
	h := HardState{Term: d.number(), Vote: ReplicaID(d.number()), Commit: d.number()}
	return h, d.end()
}

// EncodeEntry returns the bytes of an entry.
func EncodeEntry(entry Entry) []byte { return AppendEntry(nil, entry) }

// AppendEntry appends the bytes of an entry.
func AppendEntry(b []byte, entry Entry) []byte {
	b = binary.AppendUvarint(b, entry.Index)
	b = binary.AppendUvarint(b, entry.Term)
	b = append(b, byte(entry.Kind))
	return appendBytes(b, entry.Data)
}

// DecodeEntry reads what EncodeEntry wrote, and nothing else. The entry does not share memory with b.
func DecodeEntry(b []byte) (Entry, error) {
	d := decoder{b: b}
	e := d.entry()
	return e, d.end()
}

// EncodeSnapshot returns the bytes of a snapshot.
func EncodeSnapshot(snapshot Snapshot) []byte { return AppendSnapshot(nil, snapshot) }

// AppendSnapshot appends the bytes of a snapshot.
func AppendSnapshot(b []byte, snapshot Snapshot) []byte {
	b = binary.AppendUvarint(b, snapshot.Index)
	b = binary.AppendUvarint(b, snapshot.Term)
	b = AppendMembership(b, snapshot.Membership)
	return appendBytes(b, snapshot.Data)
}

// DecodeSnapshot reads what EncodeSnapshot wrote, and nothing else. The snapshot does not share memory with b.
func DecodeSnapshot(b []byte) (Snapshot, error) {
	d := decoder{b: b}
	s := d.snapshot()
	return s, d.end()
}

// EncodeMessage returns the bytes of a message.
func EncodeMessage(message Message) []byte { return AppendMessage(nil, message) }

// AppendMessage appends the bytes of a message.
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

// DecodeMessage reads what EncodeMessage wrote, and nothing else. The message does not share memory with b.
func DecodeMessage(b []byte) (Message, error) {
	d := decoder{b: b}
	m := d.message()
	return m, d.end()
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

// numbers are the fields that are encoded as numbers, in their order.
func (m *Message) numbers() [8]*uint64 {
	return [...]*uint64{(*uint64)(&m.From), (*uint64)(&m.To), &m.Term, &m.Index, &m.LogTerm, &m.Commit, &m.RejectHint, &m.Round}
}

func appendBytes[T string | []byte](b []byte, data T) []byte {
	b = binary.AppendUvarint(b, uint64(len(data)))
	return append(b, data...)
}

// decoder reads from bytes until something does not fit; from then on it reads zeros.
type decoder struct {
	b   []byte
	at  int
	err error
}

func (d *decoder) fail(what string) {
	if d.err == nil {
		d.err = &DecodeError{Field: what, Offset: d.at}
	}
	d.at = len(d.b)
}

// end returns the first error; bytes that are left over are one.
func (d *decoder) end() error {
	if d.err == nil && d.at != len(d.b) {
		d.fail("end")
	}
	return d.err
}

func (d *decoder) byte(what string, most byte) byte {
	if d.at >= len(d.b) || d.b[d.at] > most {
		d.fail(what)
		return 0
	}
	d.at++
	return d.b[d.at-1]
}

// number reads a number in its shortest form.
func (d *decoder) number() uint64 {
	number, n := binary.Uvarint(d.b[d.at:])
	if n <= 0 || n > 1 && d.b[d.at+n-1] == 0 {
		d.fail("number")
		return 0
	}
	d.at += n
	return number
}

// count reads how many parts follow, each of a least size.
func (d *decoder) count(least int) int {
	n := d.number()
	if n > uint64((len(d.b)-d.at)/least) || n > math.MaxInt32 {
		d.fail("count")
		return 0
	}
	return int(n)
}

func (d *decoder) bytes() []byte {
	n := d.count(1)
	d.at += n
	return d.b[d.at-n : d.at]
}

func (d *decoder) text() string { return string(d.bytes()) }

// data reads bytes into memory of their own; none are nil.
func (d *decoder) data() []byte { return append([]byte(nil), d.bytes()...) }

func (d *decoder) version() {
	if d.byte("version", encodingVersion) != encodingVersion {
		d.fail("version")
	}
}

func (d *decoder) membership() (s Membership) {
	d.version()
	n := d.count(leastMember)
	if n == 0 {
		return s
	}
	s.Members = make([]Member, n)
	for i := range s.Members {
		s.Members[i] = Member{ID: ReplicaID(d.number()), Node: d.text(), Zone: d.text(), Address: d.text()}
		flags := d.byte("flags of a member", knownMemberFlags)
		s.Members[i].Voter = flags&flagVoter != 0
		s.Members[i].Outgoing = flags&flagOutgoing != 0
	}
	return s
}

func (d *decoder) entry() Entry {
	return Entry{Index: d.number(), Term: d.number(), Kind: EntryKind(d.byte("kind of entry", byte(EntryMembership))),
		Data: d.data()}
}

func (d *decoder) snapshot() Snapshot {
	return Snapshot{Index: d.number(), Term: d.number(), Membership: d.membership(), Data: d.data()}
}

func (d *decoder) message() (m Message) {
	d.version()
	m.Kind = MessageKind(d.byte("kind of message", byte(MessageTimeoutNow)))
	flags := d.byte("flags", knownFlags)
	m.Reject = flags&flagReject != 0
	m.Force = flags&flagForce != 0
	for _, number := range m.numbers() {
		*number = d.number()
	}
	n := d.count(leastEntry)
	if n > 0 {
		m.Entries = make([]Entry, n)
	}
	for i := range m.Entries {
		m.Entries[i] = d.entry()
	}
	if flags&flagSnapshot != 0 {
		s := d.snapshot()
		m.Snapshot = &s
	}
	return m
}
