package answer

import (
	"strconv"
	"testing"

	"pgregory.net/rapid"
)

func TestSealAndEventRoundTrip(t *testing.T) {
	word := rapid.StringMatching(`[0-9a-z-]{1,16}`)
	rapid.Check(t, func(t *rapid.T) {
		seal := Seal{
			Stream:      rapid.Bool().Draw(t, "stream"),
			Size:        rapid.IntRange(0, 1<<20).Draw(t, "size"),
			Checksum:    rapid.Uint32().Draw(t, "sum"),
			AttemptID:   word.Draw(t, "try"),
			ExecutionID: word.Draw(t, "run"),
		}
		if got, err := ParseSeal(seal.String()); err != nil || got != seal {
			t.Fatalf("%+v read as %+v: %v", seal, got, err)
		}
		event := Event{
			Index:       rapid.IntRange(1, 999).Draw(t, "index"),
			Total:       rapid.IntRange(1, 999).Draw(t, "of"),
			ExecutionID: word.Draw(t, "run"),
		}
		if got, err := ParseEvent(strconv.Itoa(event.Index), event.Data()); err != nil || got != event {
			t.Fatalf("%+v read as %+v: %v", event, got, err)
		}
	})
}

func TestSealCheckBody(t *testing.T) {
	body := []byte("found")
	seal := Seal{Size: len(body), Checksum: Checksum(body), AttemptID: "1", ExecutionID: "r"}
	if err := seal.CheckBody("1", body); err != nil {
		t.Error(err)
	}
	for name, err := range map[string]error{
		"another try": seal.CheckBody("2", body),
		"cut short":   seal.CheckBody("1", body[:3]),
		"changed":     seal.CheckBody("1", []byte("fount")),
		"a stream":    Seal{Stream: true, Size: len(body), Checksum: Checksum(body), AttemptID: "1"}.CheckBody("1", body),
	} {
		if err == nil {
			t.Errorf("%s: nothing was found", name)
		}
	}
	for _, text := range []string{"", "b.1.2.3", "x.1.2.3.4", "b.x.2.3.4", "b.1.zz.3.4"} {
		if _, err := ParseSeal(text); err == nil {
			t.Errorf("seal %q was read", text)
		}
	}
}
