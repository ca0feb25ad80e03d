package proxy

import (
	"encoding/binary"

	"cinderroad/internal/system/placement"
)

// Encoding of a notice: its kind in one byte, the runner's key in eight, and for a prompt its number of tokens as a
// varint.
const (
	noticeRelayFlag   = 0x80 // bit of the kind: the receiver forwards the notice in its zone, without the bit
	noticeHeaderBytes = 1 + 8
	maxNoticeTokens   = 1<<24 - 1 // per prompt
)

func appendNotice(b []byte, notice placement.Notice) []byte {
	b = append(b, byte(notice.Kind))
	b = binary.LittleEndian.AppendUint64(b, notice.RunnerKey)
	if notice.Kind != placement.NoticePrefill {
		return b
	}
	return binary.AppendUvarint(b, uint64(min(notice.Tokens, maxNoticeTokens)))
}

func parseNotice(b []byte) (notice placement.Notice, relayed, ok bool) {
	if len(b) < noticeHeaderBytes {
		return notice, false, false
	}
	relayed = b[0]&noticeRelayFlag != 0
	notice.Kind = placement.NoticeKind(b[0] &^ noticeRelayFlag)
	notice.RunnerKey = binary.LittleEndian.Uint64(b[1:])
	rest := b[noticeHeaderBytes:]
	switch notice.Kind {
	case placement.NoticeRecovery:
		return notice, relayed, len(rest) == 0
	case placement.NoticePrefill:
		tokens, n := binary.Uvarint(rest)
		notice.Tokens = int(min(tokens, maxNoticeTokens))
		return notice, relayed, n > 0 && n == len(rest) && tokens <= maxNoticeTokens
	}
	return notice, relayed, false
}
