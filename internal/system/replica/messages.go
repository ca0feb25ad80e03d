package replica

import (
	"encoding/binary"
	"errors"

	"cinderroad/internal/system/consensus"
	"cinderroad/internal/system/feed"
)

var errTruncated = errors.New("they are cut short")

// appendMessage appends a partition, the length of a message and the message.
func appendMessage(b []byte, partition feed.Partition, message *consensus.Message) []byte {
	encoded := consensus.EncodeMessage(*message)
	b = binary.AppendUvarint(b, uint64(partition))
	b = binary.AppendUvarint(b, uint64(len(encoded)))
	return append(b, encoded...)
}

// readMessage reads what appendMessage wrote and returns what follows.
func readMessage(b []byte) (feed.Partition, consensus.Message, []byte, error) {
	partition, n := binary.Uvarint(b)
	if n <= 0 || partition > uint64(^feed.Partition(0)) {
		return 0, consensus.Message{}, nil, &MalformedMessagesError{errTruncated}
	}
	b = b[n:]
	length, n := binary.Uvarint(b)
	if n <= 0 || length > uint64(len(b)-n) {
		return 0, consensus.Message{}, nil, &MalformedMessagesError{errTruncated}
	}
	message, err := consensus.DecodeMessage(b[n : n+int(length)])
	if err != nil {
		return 0, consensus.Message{}, nil, &MalformedMessagesError{err}
	}
	return feed.Partition(partition), message, b[n+int(length):], nil
}
