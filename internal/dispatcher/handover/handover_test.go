package handover

import (
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against a frame that is taken before all of it has come, and against one of another version, of no kind or
// without bound.
func TestFrames(t *testing.T) {
	good := Append(Append(nil, News, []byte("body")), Took, nil)
	first := headSize + len("body")
	for n := range first {
		if _, _, _, err := Parse(good[:n]); !errors.Is(err, errMore) {
			t.Errorf("cut at %d: %v", n, err)
		}
	}
	kind, body, n, err := Parse(good)
	if diff := cmp.Diff([]any{News, "body", first, error(nil)}, []any{kind, string(body), n, err}); diff != "" {
		t.Errorf("whole (-want +got):\n%s", diff)
	}
	for text, want := range map[string]string{
		"R\x02":                          "another version",
		"GET /":                          "no frame",
		"R\x01\x00\x00\x00\x00\x00":      "kind 0",
		"R\x01\x63\x00\x00\x00\x00":      "kind 99",
		"R\x01\x01\xff\x00\x00\x00":      "frame of",
		"R\x01\x01\x01\x00\x00\x00short": "frame of",
	} {
		if _, _, _, err := Parse([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %s", text, err, want)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add(Append(nil, State, []byte("{}")))
	f.Fuzz(func(t *testing.T, b []byte) {
		if kind, body, n, err := Parse(b); err == nil && string(Append(nil, kind, body)) != string(b[:n]) {
			t.Errorf("frame of %d bytes reads as another", n)
		}
	})
}
