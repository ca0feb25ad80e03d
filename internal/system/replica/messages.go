package replica

import (
	"encoding/binary"
	"errors"

	"cinderroad/internal/system/consensus"
	"cinderroad/internal/system/feed"
)

var errTruncated = errors.New("they are truncated")

// appendMessage appends the partition, the length of the encoded message, and the message.
func appendMessage(b []byte, partition feed.Partition, message *consensus.Message) []byte {
	encoded := consensus.EncodeMessage(*message)
	b = binary.AppendUvarint(b, uint64(partition))
	b = binary.AppendUvarint(b, uint64(len(encoded)))
	return append(b, encoded...)
}

// readMessage reads what appendMessage wrote and returns the rest.
func readMessage(data []byte) (feed.Partition, consensus.Message, []byte, error) {
	partition, n := binary.Uvarint(data)
	if n <= 0 || partition > uint64(^feed.Partition(0)) {
		return 0, consensus.Message{}, nil, &MalformedMessagesError{errTruncated}
	}
	data = data[n:]
	length, n := binary.Uvarint(data)
	if n <= 0 || length > uint64(len(data)-n) {
		return 0, consensus.Message{}, nil, &MalformedMessagesError{errTruncated}
	}
	message, err := consensus.DecodeMessage(data[n : n+int(length)])
	if err != nil {
		return 0, consensus.Message{}, nil, &MalformedMessagesError{err}
	}
	return feed.Partition(partition), message, data[n+int(length):], nil
}
