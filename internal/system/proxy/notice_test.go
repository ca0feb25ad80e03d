package proxy

import (
	"testing"

	"cinderroad/internal/system/placement"
)

func TestNoticeRoundTrip(t *testing.T) {
	for _, notice := range []placement.Notice{{Kind: placement.NoticePrefill, RunnerKey: 1, Tokens: 1},
		{Kind: placement.NoticePrefill, RunnerKey: 1<<64 - 1, Tokens: maxNoticeTokens}, {Kind: placement.NoticePrefill, RunnerKey: 5},
		{Kind: placement.NoticeRecovery, RunnerKey: 9}} {
		if got, relayed, ok := parseNotice(appendNotice(nil, notice)); !ok || relayed || got != notice {
			t.Errorf("%+v was parsed as %+v, %v, %v", notice, got, relayed, ok)
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
