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
	partition, size := binary.Uvarint(data)
	if size <= 0 || partition > uint64(^feed.Partition(0)) {
		return 0, consensus.Message{}, nil, &MalformedMessagesError{errTruncated}
	}
	data = data[size:]
	length, size := binary.Uvarint(data)
	if size <= 0 || length > uint64(len(data)-size) {
		return 0, consensus.Message{}, nil, &MalformedMessagesError{errTruncated}
	}
	message, err := consensus.DecodeMessage(data[size : size+int(length)])
	if err != nil {
		return 0, consensus.Message{}, nil, &MalformedMessagesError{err}
	}
	return feed.Partition(partition), message, data[size+int(length):], nil
}
