package configuration

import (
	"bytes"
	"fmt"
	"iter"
	"maps"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// itemStore holds the items that writes made, as the table of a partition would.
type itemStore map[string][]byte

func (s itemStore) apply(writes []Write) {
	for _, write := range writes {
		if write.Deleted {
			delete(s, write.Key)
			continue
		}
		s[write.Key] = write.Value
	}
}

func (s itemStore) all() iter.Seq2[string, []byte] { return maps.All(s) }

// drawDocument draws a valid document as an operator would write it.
func drawDocument(t *rapid.T, version uint64) []byte {
	routeNames := rapid.SliceOfNDistinct(rapid.IntRange(0, 9), 0, 8, rapid.ID).Draw(t, "routes")
	serviceNames := rapid.SliceOfNDistinct(rapid.IntRange(0, 4), 1, 5, rapid.ID).Draw(t, "services")
	var routes, services []string
	for _, name := range routeNames {
		service := rapid.SampledFrom(serviceNames).Draw(t, "service")
		routes = append(routes, fmt.Sprintf(
			`{"name":"r/%d","host":"h","path_start":"/%d/","type":"writes","timeout_ms":%d,"service":"s%d","x":"é"}`,
			name, name, rapid.IntRange(1, 3).Draw(t, "timeout"), service))
	}
	for _, name := range serviceNames {
		services = append(services, fmt.Sprintf(`{"name":"s%d","max_conns":%d}`, name, rapid.IntRange(1, 2).Draw(t, "conns")))
	}
	extras := rapid.SampledFrom([]string{
		"", `,"limits":{"max_body_bytes":1.0}`, `,"limits":{}`, `,"a":1.50,"\"b":[{"name":"n"}]`, `,"a":null`,
	}).Draw(t, "extras")
	return fmt.Appendf(nil, `{"version":%d,"routes":[%s],"services":[%s]%s}`,
		version, strings.Join(routes, ","), strings.Join(services, ","), extras)
}

func TestStoredDocumentRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stored := itemStore{}
		var current, kept *Document
		var keptEncoded []byte
		for version := uint64(1); version <= 5; version++ {
			body := drawDocument(t, version)
			next, err := ParseAndValidate(body, version-1)
			if err != nil {
				t.Fatalf("%s: %v", body, err)
			}
			writes := Diff(current, next)
			stored.apply(writes)
			again, err := FromItems(stored.all())
			if err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(again.Encode(), next.Encode()) || !sameJSON(t, again.Encode(), body) {
				t.Fatalf("%s came back as %s", body, again.Encode())
			}
			if rest := Diff(again, next); len(rest) > 0 {
				t.Fatalf("still different: %v", rest)
			}
			shared, err := FromItemsReusing(kept, stored.all())
			if err != nil || !bytes.Equal(shared.Encode(), again.Encode()) || len(Diff(shared, again)) > 0 {
				t.Fatalf("read beside the last one it is %s, %v", shared.Encode(), err)
			}
			if kept != nil && !bytes.Equal(kept.Encode(), keptEncoded) {
				t.Fatalf("the last document was altered to %s", kept.Encode())
			}
			kept = shared
			keptEncoded = shared.Encode()
			if rest := Diff(again, next.AlignOrdinals(current)); current != nil && len(rest) > 0 {
				t.Fatalf("the rebased document is still different: %v", rest)
			}
			fresh := itemStore{}
			fresh.apply(next.Writes())
			if len(fresh) != len(stored) {
				t.Fatalf("%d items are stored, want %d", len(stored), len(fresh))
			}
			current = again
		}
	})
}

func TestDiffIsMinimal(t *testing.T) {
	var routes []string
	for i := range 100 {
		routes = append(routes, strings.NewReplacer("r-3", fmt.Sprint("r-", i), "three", fmt.Sprint(i)).Replace(sampleRoute))
	}
	document := func(version int, routes []string) *Document {
		body := fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"plain"}]}`, version, strings.Join(routes, ","))
		return mustParse(t, body, 0)
	}
	base := document(1, routes)
	for name, change := range map[string]struct {
		routes []string
		writes int // beside the version
	}{
		"the same":            {routes, 0},
		"the first gone":      {routes[1:], 1},
		"one in the middle":   {slices.Insert(slices.Clone(routes), 50, strings.Replace(sampleRoute, "r-3", "r-new", 1)), 1},
		"the last in front":   {append([]string{routes[99]}, routes[:99]...), 1},
		"another timeout":     {append([]string{strings.Replace(routes[0], ":1,", ":2,", 1)}, routes[1:]...), 1},
		"only the first half": {routes[:50], 50},
	} {
		if writes := Diff(base, document(2, change.routes)); len(writes) != change.writes+1 {
			t.Errorf("%s: %d writes, want %d and the version", name, len(writes), change.writes)
		}
	}
}

func BenchmarkDiffOneTimeout(b *testing.B) {
	body := largeDocument()
	old, err := ParseAndValidate(body, 0)
	if err != nil {
		b.Fatal(err)
	}
	next, err := ParseAndValidate([]byte(strings.Replace(string(body), ":1,\"service", ":2,\"service", 1)), 0)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if writes := Diff(old, next); len(writes) != 1 {
			b.Fatal(len(writes))
		}
	}
}
