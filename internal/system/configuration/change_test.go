package configuration

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"cinderroad/internal/system/validation"
)

func itemNames(document *Document) string {
	var names []string
	for _, route := range document.Routes() {
		names = append(names, route.Name)
	}
	for _, service := range document.Services() {
		names = append(names, service.Name)
	}
	return strings.Join(names, " ")
}

const sampleRoute = `{"name":"r-3","host":"a.example","path_start":"/three/","type":"writes","timeout_ms":1,"service":"plain"}`

func TestChangeReplacesAndRemovesItems(t *testing.T) {
	base := mustParse(t, sampleDocument, 0)
	body := `{"version":9,"replace":{"routes":[` + sampleRoute + `,` +
		strings.Replace(sampleRoute, `"r-3","host":"a.example","path_start":"/three/"`, `"r-1","host":"b.example","path_start":"/x/"`, 1) +
		`],"limits":{"max_body_bytes":5},"colour":"red","tenants":[{"name":"t-3"},{"name":"t-1","homes":[]}]},
		"remove":{"routes":["r-2","r-none"],"services":["engine"],"tenants":["t-2"]},"comment":"x"}`
	changed, err := ApplyAndValidate([]byte(body), base)
	if err != nil {
		t.Fatal(err)
	}
	if got := itemNames(changed); got != "r-1 r-3 plain" || changed.Version() != 9 {
		t.Errorf("got %s of version %d", got, changed.Version())
	}
	if limits, _ := changed.Limits(); limits.MaxBodyBytes != 5 || limits.MaxHeaderBytes != 0 {
		t.Errorf("limits %+v", limits)
	}
	encoded := string(changed.Encode())
	for _, part := range []string{`"colour":"red"`, `"tenants":[{"name":"t-1","homes":[]},{"name":"t-3"}]`, `"b.example"`} {
		if !strings.Contains(encoded, part) {
			t.Errorf("no %s in %s", part, encoded)
		}
	}
	if itemNames(base) != "r-1 r-2 engine plain" || !sameJSON(t, base.Encode(), []byte(sampleDocument)) {
		t.Error("the base was altered")
	}
}

func TestChangeWithoutBase(t *testing.T) {
	body := `{"version":1,"replace":{"routes":[` + sampleRoute + `],"services":[{"name":"plain"}]}}`
	document, err := ApplyAndValidate([]byte(body), nil)
	if err != nil || itemNames(document) != "r-3 plain" {
		t.Fatalf("got %v, %v", document, err)
	}
}

func TestApplyAndValidateRejectsInvalidChanges(t *testing.T) {
	base := mustParse(t, sampleDocument, 0)
	replacing := func(routes ...string) string {
		return `{"version":9,"replace":{"routes":[` + strings.Join(routes, ",") + `]}}`
	}
	for name, invalid := range map[string]struct{ body, path string }{
		"nothing":         {"", ""},
		"cut short":       {`{"version":9`, ""},
		"no version":      {`{"replace":{}}`, ""},
		"old version":     {`{"version":7}`, "version"},
		"service in use":  {`{"version":9,"remove":{"services":["plain"]}}`, "routes[0].shares[1]"},
		"unknown service": {replacing(strings.Replace(sampleRoute, "plain", "none", 1)), "routes[2].service"},
		"taken prefix":    {replacing(strings.Replace(sampleRoute, "three", "one", 1)), "routes[2].path_start"},
		"timeout of 0":    {replacing(strings.Replace(sampleRoute, ":1,", ":0,", 1)), "routes[2].timeout_ms"},
		"replaced twice":  {replacing(sampleRoute, sampleRoute), "replace.routes[1].name"},
		"replaced and removed": {
			`{"version":9,"replace":{"routes":[` + sampleRoute + `]},"remove":{"routes":["r-3"]}}`,
			"remove.routes[0]",
		},
		"no name":                {`{"version":9,"replace":{"services":[{}]}}`, "services[2].name"},
		"removal of no names":    {`{"version":9,"remove":{"routes":[1]}}`, "remove.routes[0]"},
		"removal of no list":     {`{"version":9,"remove":{"routes":"r-1"}}`, "remove.routes"},
		"replacement of no list": {`{"version":9,"replace":{"routes":{}}}`, "replace.routes"},
		"removal of limits":      {`{"version":9,"remove":{"limits":[]}}`, "remove.limits"},
		"replaced version":       {`{"version":9,"replace":{"version":10}}`, "replace.version"},
	} {
		_, err := ApplyAndValidate([]byte(invalid.body), base)
		var found *validation.Error
		if !errors.As(err, &found) {
			t.Errorf("%s: got %v, want problems", name, err)
			continue
		}
		known := false
		for _, problem := range found.Problems {
			known = known || problem.Path == invalid.path
		}
		if !known {
			t.Errorf("%s: no problem at %q in %v", name, invalid.path, err)
		}
	}
}

func TestChangeRemovesServiceWithItsRoutes(t *testing.T) {
	base := mustParse(t, sampleDocument, 0)
	body := `{"version":8,"remove":{"services":["engine"],"routes":["r-1"]}}`
	if _, err := ApplyAndValidate([]byte(body), base); err != nil {
		t.Fatal(err)
	}
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
		reparsed, err := ParseAndValidate(changed.Encode(), base.Version())
		if err != nil || !bytes.Equal(reparsed.Encode(), changed.Encode()) {
			t.Fatalf("%s is not a document: %v", changed.Encode(), err)
		}
	})
}
