package handover

import (
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// A frame that is cut anywhere is incomplete; one of another version, of an unknown kind or over the bound is an error.
func TestParseFrame(t *testing.T) {
	good := AppendFrame(AppendFrame(nil, CallbackQuery, []byte("body")), Takeover, nil)
	firstSize := headerSize + len("body")
	for size := range firstSize {
		if _, _, _, err := ParseFrame(good[:size]); !errors.Is(err, errIncomplete) {
			t.Errorf("cut at %d: %v", size, err)
		}
	}
	kind, body, size, err := ParseFrame(good)
	if diff := cmp.Diff([]any{CallbackQuery, "body", firstSize, error(nil)}, []any{kind, string(body), size, err}); diff != "" {
		t.Errorf("complete (-want +got):\n%s", diff)
	}
	for text, want := range map[string]string{
		"R\x02":                          "another version",
		"GET /":                          "no frame",
		"R\x01\x00\x00\x00\x00\x00":      "kind 0",
		"R\x01\x63\x00\x00\x00\x00":      "kind 99",
		"R\x01\x01\xff\x00\x00\x00":      "frame of",
		"R\x01\x01\x01\x00\x00\x00short": "frame of",
	} {
		if _, _, _, err := ParseFrame([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %s", text, err, want)
		}
	}
}

func FuzzParseFrame(f *testing.F) {
	f.Add(AppendFrame(nil, State, []byte("{}")))
	f.Fuzz(func(t *testing.T, b []byte) {
		if kind, body, n, err := ParseFrame(b); err == nil && string(AppendFrame(nil, kind, body)) != string(b[:n]) {
			t.Errorf("frame of %d bytes reads as another", n)
		}
	})
}
