package state

import (
	"encoding/binary"

	"cinderroad/internal/shared/codec"
)

// commandFormat is the version of the commands' encoding, their first byte.
const commandFormat = 1

// commandKind is the second byte of a command.
type commandKind uint8

// The kinds of command.
const (
	kindCommit     commandKind = 1 + iota // CommitConfiguration
	kindEvacuation                        // SetEvacuation
	kindRunners                           // WriteRunners
)

// whatCommand names a command in a FormatError.
const whatCommand = "a command"

// maxPreallocatedWrites limits the memory that is allocated for a count before its elements are read: a malformed command
// may claim any count.
const maxPreallocatedWrites = 1024

// DigestSize is the length of a request's digest in bytes.
const DigestSize = 16

// Digest identifies an operator's request: a request that is sent again has the same digest.
type Digest [DigestSize]byte

// Write sets or deletes a key.
type Write struct {
	Key     string
	Value   []byte // nil if Deleted
	Deleted bool
}

// CommitConfiguration replaces the configuration of version BaseVersion by Version. It is accepted only while BaseVersion
// is the current version.
type CommitConfiguration struct {
	BaseVersion, Version uint64
	Digest               Digest
	Writes               []Write // the difference to BaseVersion, without the key of the version
}

// SetEvacuation evacuates a zone or ends its evacuation. It is accepted only if no order about any zone was applied since
// its proposer read the state.
type SetEvacuation struct {
	Zone             string
	Evacuated        bool
	ExpectedRevision uint64 // Evacuation.Revision as the proposer read it
}

// WriteRunners changes a partition's runners. It is accepted only if none changed since its proposer read the state.
type WriteRunners struct {
	ExpectedRevision uint64 // Runners.Revision as the proposer read it
	Writes           []Write
}

// Encode returns the command to propose.
func (c *CommitConfiguration) Encode() []byte {
	b := newCommand(kindCommit, maxWritesSize(c.Writes)+DigestSize+2*binary.MaxVarintLen64)
	b = binary.AppendUvarint(b, c.BaseVersion)
	b = binary.AppendUvarint(b, c.Version)
	b = append(b, c.Digest[:]...)
	return appendWrites(b, c.Writes)
}

// Encode returns the command to propose.
func (c *SetEvacuation) Encode() []byte {
	b := newCommand(kindEvacuation, len(c.Zone)+2*binary.MaxVarintLen64)
	b = binary.AppendUvarint(b, c.ExpectedRevision)
	b = codec.AppendBool(b, c.Evacuated)
	return codec.AppendBytes(b, c.Zone)
}

// Encode returns the command to propose.
func (c *WriteRunners) Encode() []byte {
	b := newCommand(kindRunners, maxWritesSize(c.Writes)+binary.MaxVarintLen64)
	b = binary.AppendUvarint(b, c.ExpectedRevision)
	return appendWrites(b, c.Writes)
}

// newCommand returns the head of a command, with capacity for size more bytes.
func newCommand(kind commandKind, size int) []byte {
	return append(make([]byte, 0, size+2), commandFormat, byte(kind))
}

// decodeCommand returns a *CommitConfiguration, *SetEvacuation or *WriteRunners, whose writes share memory with data. The
// error is a *FormatError.
func decodeCommand(data []byte) (any, error) {
	reader := codec.NewCanonicalReader(data)
	if reader.Byte("format") != commandFormat {
		return nil, &FormatError{What: whatCommand, Offset: 0}
	}
	command := readCommand(&reader, commandKind(reader.Byte("kind")))
	if command == nil {
		return nil, &FormatError{What: whatCommand, Offset: reader.Offset()}
	}
	if err := checkDecoded(&reader, whatCommand); err != nil {
		return nil, err
	}
	return command, nil
}

// readCommand reads the fields of a command; it returns nil if the kind is unknown.
func readCommand(reader *codec.Reader, kind commandKind) any {
	switch kind {
	case kindCommit:
		return &CommitConfiguration{
			BaseVersion: reader.Uvarint("base version"),
			Version:     reader.Uvarint("version"),
			Digest:      readDigest(reader),
			Writes:      readWrites(reader),
		}
	case kindEvacuation:
		return &SetEvacuation{
			ExpectedRevision: reader.Uvarint("expected revision"),
			Evacuated:        reader.Bool("evacuated"),
			Zone:             reader.String("zone"),
		}
	case kindRunners:
		return &WriteRunners{ExpectedRevision: reader.Uvarint("expected revision"), Writes: readWrites(reader)}
	}
	return nil
}

// readDigest reads a digest, which is encoded without a length.
func readDigest(reader *codec.Reader) (digest Digest) {
	copy(digest[:], reader.Fixed("digest", DigestSize))
	return digest
}

// appendWrites appends the number of writes and each write.
func appendWrites(b []byte, writes []Write) []byte {
	b = binary.AppendUvarint(b, uint64(len(writes)))
	for _, write := range writes {
		b = codec.AppendBytes(b, write.Key)
		b = codec.AppendBool(b, write.Deleted)
		if !write.Deleted {
			b = codec.AppendBytes(b, write.Value)
		}
	}
	return b
}

// maxWritesSize returns the most bytes that appendWrites appends.
func maxWritesSize(writes []Write) int {
	size := binary.MaxVarintLen64
	for _, write := range writes {
		size += len(write.Key) + len(write.Value) + 2*binary.MaxVarintLen32 + 1
	}
	return size
}

// readWrites reads what appendWrites wrote. The values share memory with the encoding.
func readWrites(reader *codec.Reader) []Write {
	count := reader.Count("writes")
	if count == 0 {
		return nil
	}
	writes := make([]Write, 0, min(count, maxPreallocatedWrites))
	for range count {
		write := Write{Key: reader.String("key"), Deleted: reader.Bool("deleted")}
		if !write.Deleted {
			write.Value = reader.Bytes("value")
		}
		if _, failed := reader.Malformed(); failed {
			return nil
		}
		writes = append(writes, write)
	}
	return writes
}
