package proxy

import (
	"encoding/binary"

	"cinderroad/internal/shared/codec"
	"cinderroad/internal/system/placement"
)

// Encoding of a notice: its kind in one byte, the runner's key in eight, and for a prompt its number of tokens as a
// varint.
const (
	noticeRelayFlag = 0x80 // bit of the kind: the receiver forwards the notice in its zone, without the bit
	noticeKeyBytes  = 8
	maxNoticeTokens = 1<<24 - 1 // per prompt
)

// appendNotice appends the encoding of a notice that is not to be relayed.
func appendNotice(b []byte, notice placement.Notice) []byte {
	b = append(b, byte(notice.Kind))
	b = binary.LittleEndian.AppendUint64(b, notice.RunnerKey)
	if notice.Kind != placement.NoticePrefill {
		return b
	}
	return binary.AppendUvarint(b, uint64(min(notice.Tokens, maxNoticeTokens)))
}

// parseNotice decodes a notice and whether the receiver is to relay it. Neither is valid unless ok: the bytes are a
// whole notice of a kind that is known, and nothing more.
func parseNotice(b []byte) (notice placement.Notice, relayed, ok bool) {
	reader := codec.NewReader(b)
	kind := reader.Byte("kind")
	key := reader.Fixed("runner key", noticeKeyBytes)
	if _, failed := reader.Malformed(); failed {
		return notice, false, false
	}
	relayed = kind&noticeRelayFlag != 0
	notice.Kind = placement.NoticeKind(kind &^ noticeRelayFlag)
	notice.RunnerKey = binary.LittleEndian.Uint64(key)
	switch notice.Kind {
	case placement.NoticeRecovery:
	case placement.NoticePrefill:
		tokens := reader.Uvarint("tokens")
		if tokens > maxNoticeTokens {
			reader.Fail("tokens")
		}
		notice.Tokens = int(min(tokens, maxNoticeTokens))
	default:
		reader.Fail("kind")
	}
	reader.ExpectEnd("end")
	_, failed := reader.Malformed()
	return notice, relayed, !failed
}
