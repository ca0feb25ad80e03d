package configuration

import (
	"bytes"
	"errors"
	"fmt"
	"iter"
	"maps"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"cinderroad/internal/system/feed"
)

// itemStore is what writes make, as a partition's table would hold it.
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

// drawDocument draws a valid document as the operator would write it.
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
			kept, keptEncoded = shared, shared.Encode()
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
	whole := func(version int, routes []string) *Document {
		body := fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"plain"}]}`, version, strings.Join(routes, ","))
		return mustParse(t, body, 0)
	}
	base := whole(1, routes)
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
		if writes := Diff(base, whole(2, change.routes)); len(writes) != change.writes+1 {
			t.Errorf("%s: %d writes, want %d and the version", name, len(writes), change.writes)
		}
	}
}

func TestAlignOrdinalsKeepsOrderAndMostOrdinals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		have := rapid.SliceOf(rapid.OneOf(rapid.Uint64Range(0, 12), rapid.Uint64())).Draw(t, "have")
		aligned := alignOrdinals(have)
		kept := 0
		for i, ordinal := range aligned {
			if i > 0 && ordinal <= aligned[i-1] || ordinal == 0 {
				t.Fatalf("%v became %v", have, aligned)
			}
			if ordinal == have[i] {
				kept++
			}
		}
		renumbered := slices.Equal(aligned, evenOrdinals(len(have)))
		if kept < len(longestIncreasing(have)) && !renumbered {
			t.Fatalf("%v became %v: %d kept", have, aligned, kept)
		}
	})
}

func TestAlignOrdinalsRepeatedInsertions(t *testing.T) {
	ordinals := []uint64{evenOrdinal(0), evenOrdinal(1)}
	for range 200 {
		ordinals = alignOrdinals(slices.Insert(ordinals, 1, 0))
		if !slices.IsSorted(ordinals) {
			t.Fatalf("out of order: %v", ordinals)
		}
	}
}

func TestDecodeStoredItems(t *testing.T) {
	stored := itemStore{}
	stored.apply(mustParse(t, sampleDocument, 0).Writes())
	route, err := DecodeRoute(stored[feed.KeyPrefixRoute+"r-1"])
	if err != nil || route.PathPrefix != "/one/" || len(route.Shares) != 2 {
		t.Errorf("got %+v, %v", route, err)
	}
	service, err := DecodeService(stored[feed.KeyPrefixService+"engine"])
	if err != nil || service.MaxConnections != 360 {
		t.Errorf("got %+v, %v", service, err)
	}
	limits, err := DecodeLimits(stored[feed.KeyLimits])
	if err != nil || limits.MaxHeaderBytes != 16384 {
		t.Errorf("got %+v, %v", limits, err)
	}
	if version, err := DecodeVersion(stored[feed.KeyVersion]); err != nil || version != 7 {
		t.Errorf("got %d, %v", version, err)
	}
	if string(stored[feed.KeyPrefixExtra+"colour"]) != `"blue"` {
		t.Errorf("got %s", stored[feed.KeyPrefixExtra+"colour"])
	}
}

func TestDecodeRejectsMalformedItems(t *testing.T) {
	var malformed *MalformedItemError
	for _, value := range []string{"", "1234567", "12345678", "12345678{", "12345678[]", "12345678{} x"} {
		if _, err := DecodeRoute([]byte(value)); !errors.As(err, &malformed) {
			t.Errorf("%q as a route: %v", value, err)
		}
		if _, err := DecodeService([]byte(value)); !errors.As(err, &malformed) {
			t.Errorf("%q as a service: %v", value, err)
		}
	}
	damaged := itemStore{feed.KeyVersion: []byte("x")}
	if _, err := FromItems(damaged.all()); !errors.As(err, &malformed) {
		t.Errorf("got %v", err)
	}
	var missing *NoDocumentError
	evacuated := itemStore{feed.KeyPrefixEvacuation + "north-a": nil}
	if _, err := FromItems(evacuated.all()); !errors.As(err, &missing) {
		t.Errorf("got %v", err)
	}
}

func FuzzParseAndValidate(f *testing.F) {
	f.Add([]byte(sampleDocument))
	f.Add([]byte(`{"version":1,"routes":[],"services":[]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		document, err := ParseAndValidate(body, 0)
		if err != nil {
			return
		}
		encoded := document.Encode()
		again, err := ParseAndValidate(encoded, 0)
		if err != nil || !bytes.Equal(again.Encode(), encoded) {
			t.Fatalf("%s was encoded as %s: %v", body, encoded, err)
		}
		stored := itemStore{}
		stored.apply(document.Writes())
		read, err := FromItems(stored.all())
		if err != nil || !bytes.Equal(read.Encode(), encoded) {
			t.Fatalf("%s was stored and came back as %v: %v", encoded, read, err)
		}
	})
}

func FuzzApplyAndValidate(f *testing.F) {
	f.Add([]byte(`{"version":9,"replace":{"routes":[` + sampleRoute + `]},"remove":{"routes":["r-2"],"tenants":["t-1"]}}`))
	f.Add([]byte(`{"version":9,"replace":{"colour":1,"tenants":[{"name":"t-1"}],"limits":{}}}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		base, err := ParseAndValidate([]byte(sampleDocument), 0)
		if err != nil {
			t.Fatal(err)
		}
		changed, err := ApplyAndValidate(body, base)
		if err != nil {
			return
		}
		if err := changed.Validate(base.Version()); err != nil {
			t.Fatalf("an invalid document was made: %v", err)
		}
		stored := itemStore{}
		stored.apply(base.Writes())
		stored.apply(Diff(base, changed))
		read, err := FromItems(stored.all())
		if err != nil || !bytes.Equal(read.Encode(), changed.Encode()) {
			t.Fatalf("%s came back as %v: %v", changed.Encode(), read, err)
		}
		if whole, err := ParseAndValidate(changed.Encode(), base.Version()); err != nil || !bytes.Equal(whole.Encode(), changed.Encode()) {
			t.Fatalf("%s is not a document: %v", changed.Encode(), err)
		}
	})
}

// largeDocument is near the largest that operators send.
func largeDocument() []byte {
	var routes []string
	padding := strings.Repeat("x", 7000)
	for i := range 550 {
		route := strings.NewReplacer("r-3", fmt.Sprint("r-", i), "three", fmt.Sprint(i)).Replace(sampleRoute)
		routes = append(routes, strings.TrimSuffix(route, "}")+`,"note":"`+padding+`"}`)
	}
	return fmt.Appendf(nil, `{"version":1,"routes":[%s],"services":[{"name":"plain"}]}`, strings.Join(routes, ","))
}

func BenchmarkParseAndValidate(b *testing.B) {
	for name, body := range map[string][]byte{"sample": []byte(sampleDocument), "large": largeDocument()} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			b.SetBytes(int64(len(body)))
			for b.Loop() {
				if _, err := ParseAndValidate(body, 0); err != nil {
					b.Fatal(err)
				}
			}
		})
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
