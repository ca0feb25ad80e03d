package counter

import (
	"encoding/binary"

	"cinderroad/internal/shared/codec"
)

// simulatedMessage is a request or a reply on the simulated network.
type simulatedMessage struct {
	From   Sender
	Vector []byte
	Ranges []byte
	Pull   bool
}

func encodeMessage(message simulatedMessage) []byte {
	data := codec.AppendBytes(nil, message.From.Address)
	data = codec.AppendBytes(data, message.From.Zone)
	data = binary.AppendUvarint(data, uint64(message.From.Origin))
	data = codec.AppendBool(data, message.Pull)
	data = codec.AppendBytes(data, message.Vector)
	return codec.AppendBytes(data, message.Ranges)
}

func decodeMessage(data []byte) (message simulatedMessage, ok bool) {
	reader := codec.NewReader(data)
	message.From.Address = reader.String("address")
	message.From.Zone = reader.String("zone")
	message.From.Origin = Origin(reader.Uvarint("origin"))
	message.Pull = reader.Bool("pull")
	message.Vector = reader.Bytes("vector")
	message.Ranges = reader.Bytes("ranges")
	reader.ExpectEnd("end")
	_, failed := reader.Malformed()
	return message, !failed
}

func (m *simulatedMessage) request() *ExchangeRequest {
	return &ExchangeRequest{From: m.From, Vector: m.Vector, Ranges: m.Ranges, Pull: m.Pull}
}

func (m *simulatedMessage) reply() *ExchangeReply {
	return &ExchangeReply{From: m.From, Vector: m.Vector, Ranges: m.Ranges}
}
