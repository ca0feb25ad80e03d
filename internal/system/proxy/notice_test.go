package proxy

import (
	"testing"

	"cinderroad/internal/system/placement"
)

func TestNoticeRoundTrip(t *testing.T) {
	for _, notice := range []placement.Notice{
		{Kind: placement.NoticePrefill, RunnerKey: 1, Tokens: 1},
		{Kind: placement.NoticePrefill, RunnerKey: 1<<64 - 1, Tokens: maxNoticeTokens},
		{Kind: placement.NoticePrefill, RunnerKey: 5},
		{Kind: placement.NoticeRecovery, RunnerKey: 9},
	} {
		if got, relayed, ok := parseNotice(appendNotice(nil, notice)); !ok || relayed || got != notice {
			t.Errorf("%+v was parsed as %+v, %v, %v", notice, got, relayed, ok)
		}
	}
}

// TestParseNoticeBounds checks which bytes after the header are accepted, and that a datagram cut short is not.
func TestParseNoticeBounds(t *testing.T) {
	const prefill, recovery = byte(placement.NoticePrefill), byte(placement.NoticeRecovery)
	datagram := func(kind byte, rest ...byte) []byte {
		return append([]byte{kind, 1, 2, 3, 4, 5, 6, 7, 8}, rest...)
	}
	const key = 0x0807060504030201
	for _, test := range []struct {
		name     string
		datagram []byte
		notice   placement.Notice // what is accepted; the zero value: nothing
		relayed  bool
	}{
		{name: "empty"},
		{name: "without a key", datagram: datagram(recovery)[:1]},
		{name: "key cut short", datagram: datagram(recovery)[:8]},
		{name: "recovery", datagram: datagram(recovery), notice: placement.Notice{Kind: placement.NoticeRecovery, RunnerKey: key}},
		{name: "recovery with a further byte", datagram: datagram(recovery, 0)},
		{name: "kind that no proxy sends", datagram: datagram(0x7f)},
		{name: "kind that no proxy sends, relayed", datagram: datagram(noticeRelayFlag|0x7f, 1)},
		{name: "prefill without tokens", datagram: datagram(prefill)},
		{name: "tokens cut short", datagram: datagram(prefill, 0x80)},
		{
			name:     "most tokens",
			datagram: datagram(prefill, 0xff, 0xff, 0xff, 0x07),
			notice:   placement.Notice{Kind: placement.NoticePrefill, RunnerKey: key, Tokens: maxNoticeTokens},
		},
		{name: "too many tokens", datagram: datagram(prefill, 0x80, 0x80, 0x80, 0x08)},
		{name: "tokens beyond 64 bits", datagram: datagram(prefill, 255, 255, 255, 255, 255, 255, 255, 255, 255, 255, 1)},
		{name: "byte after the tokens", datagram: datagram(prefill, 1, 0)},
		{
			name:     "tokens longer than need be, relayed",
			datagram: datagram(noticeRelayFlag|prefill, 0x81, 0x00),
			relayed:  true,
			notice:   placement.Notice{Kind: placement.NoticePrefill, RunnerKey: key, Tokens: 1},
		},
	} {
		notice, relayed, ok := parseNotice(test.datagram)
		if ok != (test.notice != placement.Notice{}) {
			t.Errorf("%s: accepted is %v", test.name, ok)
		}
		if ok && (notice != test.notice || relayed != test.relayed) {
			t.Errorf("%s: %+v, relayed %v", test.name, notice, relayed)
		}
	}
}

// FuzzParseNotice parses arbitrary bytes: what is accepted encodes to an equal notice.
func FuzzParseNotice(f *testing.F) {
	f.Add(appendNotice(nil, placement.Notice{Kind: placement.NoticePrefill, RunnerKey: 3, Tokens: 4000}))
	f.Add(appendNotice(nil, placement.Notice{Kind: placement.NoticeRecovery, RunnerKey: 3}))
	f.Add([]byte{byte(placement.NoticePrefill), 0, 0, 0, 0, 0, 0, 0, 0, 0x80})
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, b []byte) {
		notice, _, ok := parseNotice(b)
		if !ok {
			return
		}
		again, _, ok := parseNotice(appendNotice(nil, notice))
		if !ok || again != notice || notice.Tokens < 0 || notice.Tokens > maxNoticeTokens {
			t.Errorf("%x was parsed as %+v, then as %+v", b, notice, again)
		}
	})
}
