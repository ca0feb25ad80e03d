package configuration

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"cinderroad/internal/system/validation"
)

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

// largeDocument returns a document near the largest that operators send.
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

func TestParseAllFields(t *testing.T) {
	document := mustParse(t, sampleDocument, 6)
	if document.Version() != 7 {
		t.Errorf("version %d", document.Version())
	}
	checkSampleRoutes(t, document)
	checkSampleServices(t, document)
	wantLimits := Limits{
		MaxHeaderBytes: 16384,
		MaxBodyBytes:   4194304,
		HeaderTimeout:  3 * time.Second,
		IdleTimeout:    15 * time.Second,
	}
	if got, known := document.Limits(); !known || got != wantLimits {
		t.Errorf("limits %+v", got)
	}
}

// checkSampleRoutes checks the routes of the sample document.
func checkSampleRoutes(t *testing.T, document *Document) {
	t.Helper()
	wantRoutes := []*Route{
		{
			Name:           "r-1",
			Host:           "a.example",
			PathPrefix:     "/one/",
			Type:           Streaming,
			Timeout:        5 * time.Second,
			LatencyTarget:  800 * time.Millisecond,
			EventGapTarget: 400 * time.Millisecond,
			Rank:           1,
			MaxAttempts:    1,
			PrefixAffinity: true,
			Shares:         []Share{{Service: "engine", Weight: 90}, {Service: "plain", Weight: 10}},
			HomeRegions:    []string{"north"},
		},
		{
			Name:          "r-2",
			Host:          "a.example",
			PathPrefix:    "/two/",
			Type:          ReadOnly,
			Timeout:       3 * time.Second,
			LatencyTarget: 600500 * time.Microsecond,
			MaxAttempts:   2,
			Resumable:     true,
			Shares:        []Share{{Service: "plain", Weight: 1}},
		},
	}
	if got := document.Routes(); !reflect.DeepEqual(got, wantRoutes) {
		t.Errorf("routes %+v %+v", got[0], got[1])
	}
}

// checkSampleServices checks the services of the sample document.
func checkSampleServices(t *testing.T, document *Document) {
	t.Helper()
	wantServices := []*Service{
		{
			Name:              "engine",
			HealthPath:        "/health",
			MaxConnections:    360,
			SlowStartDuration: 3 * time.Second,
			SlowStartRate:     9.2,
			Backend: &Backend{
				Capacity:           64,
				CacheTokens:        230413,
				CacheBytesPerToken: 327680,
				LinkMbps:           550000,
				TokensPerEvent:     4,
				Models:             []string{"m"},
			},
		},
		{Name: "plain", HealthPath: "/health", MaxConnections: 100},
	}
	if got := document.Services(); !reflect.DeepEqual(got, wantServices) {
		t.Errorf("services %+v %+v", got[0], got[1])
	}
}

// invalidDocument is a document that is rejected with a problem at a path.
type invalidDocument struct{ body, path string }

// checkRejected checks that each document is rejected, on version 6, with a problem at its path.
func checkRejected(t *testing.T, documents map[string]invalidDocument) {
	t.Helper()
	for name, invalid := range documents {
		_, err := ParseAndValidate([]byte(invalid.body), 6)
		var found *validation.Error
		if !errors.As(err, &found) {
			t.Errorf("%s: got %v, want problems", name, err)
			continue
		}
		paths := map[string]bool{}
		for _, problem := range found.Problems {
			paths[problem.Path] = true
		}
		if !paths[invalid.path] {
			t.Errorf("%s: no problem at %q in %v", name, invalid.path, err)
		}
	}
}

// swap returns the sample document with the first occurrence of a text replaced.
func swap(t *testing.T, old, replacement string) string {
	t.Helper()
	changed := strings.Replace(sampleDocument, old, replacement, 1)
	if changed == sampleDocument {
		t.Fatalf("%q does not stand in the sample", old)
	}
	return changed
}

func TestParseAndValidateRejectsInvalidDocuments(t *testing.T) {
	t.Run("malformed", func(t *testing.T) { checkRejected(t, malformedDocuments(t)) })
	t.Run("top-level fields", func(t *testing.T) { checkRejected(t, invalidTopLevelFields(t)) })
	t.Run("names", func(t *testing.T) { checkRejected(t, invalidNames(t)) })
	t.Run("hosts and paths", func(t *testing.T) { checkRejected(t, invalidRouteMatches(t)) })
	t.Run("types", func(t *testing.T) { checkRejected(t, invalidRouteTypes(t)) })
	t.Run("shares", func(t *testing.T) { checkRejected(t, invalidShares(t)) })
	t.Run("timeouts", func(t *testing.T) { checkRejected(t, invalidTimeouts(t)) })
	t.Run("limits", func(t *testing.T) { checkRejected(t, invalidLimits(t)) })
}

func malformedDocuments(t *testing.T) map[string]invalidDocument {
	t.Helper()
	return map[string]invalidDocument{
		"nothing":        {"", ""},
		"cut short":      {sampleDocument[:len(sampleDocument)-1], ""},
		"bytes after it": {sampleDocument + "{}", ""},
		"no object":      {"[]", ""},
		"not UTF-8":      {swap(t, "blue", "bl\xffue"), ""},
	}
}

func invalidTopLevelFields(t *testing.T) map[string]invalidDocument {
	t.Helper()
	return map[string]invalidDocument{
		"no version":       {swap(t, `"version":7,`, ""), ""},
		"no routes":        {`{"version":7,"services":[]}`, ""},
		"no services":      {`{"version":7,"routes":[]}`, ""},
		"old version":      {swap(t, `"version":7`, `"version":6`), "version"},
		"version of text":  {swap(t, `"version":7`, `"version":"7"`), "version"},
		"broken version":   {swap(t, `"version":7`, `"version":7.5`), "version"},
		"negative version": {swap(t, `"version":7`, `"version":-7`), "version"},
		"two versions":     {swap(t, `"version":7`, `"version":7,"version":8`), "version"},
		"two extras":       {swap(t, `"colour"`, `"colour":"red","colour"`), "colour"},
		"two values":       {swap(t, `"timeout_ms":5000`, `"timeout_ms":5000,"timeout_ms":1`), "routes[0].timeout_ms"},
		"routes of null":   {`{"version":7,"routes":null,"services":[]}`, "routes"},
		"a route of null":  {`{"version":7,"routes":[null],"services":[]}`, "routes[0]"},
	}
}

func invalidNames(t *testing.T) map[string]invalidDocument {
	t.Helper()
	return map[string]invalidDocument{
		"empty route name":   {swap(t, `"name":"r-1"`, `"name":""`), "routes[0].name"},
		"no route name":      {swap(t, `"name":"r-1",`, ""), "routes[0].name"},
		"two routes' name":   {swap(t, `"name":"r-2"`, `"name":"r-1"`), "routes[1].name"},
		"empty service name": {swap(t, `"name":"engine"`, `"name":""`), "services[0].name"},
		"two services' name": {swap(t, `"name":"engine"`, `"name":"plain"`), "services[1].name"},
	}
}

func invalidRouteMatches(t *testing.T) map[string]invalidDocument {
	t.Helper()
	return map[string]invalidDocument{
		"same prefix": {swap(t, `"/two/"`, `"/one/"`), "routes[1].path_start"},
		"same prefix, case": {
			swap(t, `"host":"a.example","path_start":"/two/"`, `"host":"A.Example","path_start":"/one/"`),
			"routes[1].path_start",
		},
		"empty host":         {swap(t, `"host":"a.example"`, `"host":""`), "routes[0].host"},
		"path without end":   {swap(t, `"/one/"`, `"/one"`), "routes[0].path_start"},
		"path without start": {swap(t, `"/one/"`, `"one/"`), "routes[0].path_start"},
	}
}

func invalidRouteTypes(t *testing.T) map[string]invalidDocument {
	t.Helper()
	return map[string]invalidDocument{
		"unknown type": {swap(t, `"streaming"`, `"floating"`), "routes[0].type"},
		"no type":      {swap(t, `"type":"streaming",`, ""), "routes[0]"},
	}
}

func invalidShares(t *testing.T) map[string]invalidDocument {
	t.Helper()
	return map[string]invalidDocument{
		"unknown service":    {swap(t, `"service":"plain","tries"`, `"service":"none","tries"`), "routes[1].service"},
		"unknown share":      {swap(t, `{"service":"engine"`, `{"service":"none"`), "routes[0].shares[0]"},
		"no service":         {swap(t, `"service":"plain","tries"`, `"tries"`), "routes[1].service"},
		"service and shares": {swap(t, `"shares":`, `"service":"plain","shares":`), "routes[0]"},
		"empty shares":       {swap(t, `"service":"plain","tries"`, `"shares":[],"tries"`), "routes[1].service"},
		"weights of 0": {
			swap(t, `"weight":90},{"service":"plain","weight":10.0`, `"weight":0},{"service":"plain","weight":0.0`),
			"routes[0].shares",
		},
		"no weights": {
			swap(t, `"weight":90},{"service":"plain","weight":10.0`, `"w":0},{"service":"plain","w":0`),
			"routes[0].shares",
		},
		"negative weight": {swap(t, `"weight":10.0`, `"weight":-1`), "routes[0].shares[1]"},
		"endless weight":  {swap(t, `"weight":10.0`, `"weight":1e999`), "routes[0].shares[1].weight"},
		"huge weight":     {swap(t, `"weight":10.0`, `"weight":1e305`), "routes[0].shares"},
	}
}

func invalidTimeouts(t *testing.T) map[string]invalidDocument {
	t.Helper()
	return map[string]invalidDocument{
		"timeout of 0":     {swap(t, `"timeout_ms":5000`, `"timeout_ms":0`), "routes[0].timeout_ms"},
		"timeout of 0.0":   {swap(t, `"timeout_ms":5000`, `"timeout_ms":0.0`), "routes[0].timeout_ms"},
		"negative timeout": {swap(t, `"timeout_ms":5000`, `"timeout_ms":-5`), "routes[0].timeout_ms"},
		"no timeout":       {swap(t, `"timeout_ms":5000,`, ""), "routes[0].timeout_ms"},
		"timeout of text":  {swap(t, `"timeout_ms":5000`, `"timeout_ms":"5000"`), "routes[0].timeout_ms"},
		"timeout too long": {swap(t, `"timeout_ms":5000`, `"timeout_ms":1e300`), "routes[0].timeout_ms"},
	}
}

func invalidLimits(t *testing.T) map[string]invalidDocument {
	t.Helper()
	return map[string]invalidDocument{
		"limits of text": {swap(t, `"max_body_bytes":4194304`, `"max_body_bytes":"x"`), "limits.max_body_bytes"},
		"negative limit": {swap(t, `"header_wait_ms":3000`, `"header_wait_ms":-1`), "limits.header_wait_ms"},
	}
}

func TestParseAndValidateReportsAllProblems(t *testing.T) {
	body := strings.NewReplacer(
		`"timeout_ms":5000`, `"timeout_ms":0`, `"/two/"`, `"two"`, `"max_conns":100`, `"max_conns":"x"`,
	).Replace(sampleDocument)
	_, err := ParseAndValidate([]byte(body), 7)
	for _, path := range []string{"version", "routes[0].timeout_ms", "routes[1].path_start", "services[1].max_conns"} {
		if err == nil || !strings.Contains(err.Error(), path) {
			t.Errorf("no problem at %s in %v", path, err)
		}
	}
}

func TestParseAndValidateAcceptsUnusualDocuments(t *testing.T) {
	for name, replacement := range map[string][2]string{
		"white space":        {`{"version"`, "\n\t {\r\n\"version\""},
		"same field twice":   {`"version":7`, `"version":7,"version":7`},
		"version as a float": {`"version":7`, `"version":7.0`},
		"null fields":        {`"home_regions":["north"]`, `"home_regions":null`},
		"a share of 0":       {`"weight":90`, `"weight":0`},
		"short timeout":      {`"timeout_ms":5000`, `"timeout_ms":1e-9`},
		"no limits":          {`"limits"`, `"other_limits"`},
		"escapes":            {`"name":"r-1"`, `"name":"r-\u0031\u00e9"`},
	} {
		body := strings.Replace(sampleDocument, replacement[0], replacement[1], 1)
		if _, err := ParseAndValidate([]byte(body), 6); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}
