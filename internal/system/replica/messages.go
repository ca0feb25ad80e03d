package replica

import (
	"encoding/binary"
	"errors"

	"cinderroad/internal/shared/codec"
	"cinderroad/internal/system/consensus"
	"cinderroad/internal/system/feed"
)

// maxPartition is the greatest number that a feed.Partition holds.
const maxPartition = uint64(^feed.Partition(0))

var errTruncated = errors.New("they are truncated")

// appendMessage appends the partition, the length of the encoded message, and the message.
func appendMessage(b []byte, partition feed.Partition, message *consensus.Message) []byte {
	b = binary.AppendUvarint(b, uint64(partition))
	return codec.AppendBytes(b, consensus.EncodeMessage(*message))
}

// readMessage reads what appendMessage wrote and returns the rest. An error is a *MalformedMessagesError.
func readMessage(data []byte) (feed.Partition, consensus.Message, []byte, error) {
	reader := codec.NewReader(data)
	partition := reader.Uvarint("partition")
	encoded := reader.Bytes("message")
	if _, failed := reader.Malformed(); failed || partition > maxPartition {
		return 0, consensus.Message{}, nil, &MalformedMessagesError{errTruncated}
	}
	message, err := consensus.DecodeMessage(encoded)
	if err != nil {
		return 0, consensus.Message{}, nil, &MalformedMessagesError{err}
	}
	return feed.Partition(partition), message, reader.Rest(), nil
}
