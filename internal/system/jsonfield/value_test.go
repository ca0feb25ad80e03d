package jsonfield

import (
	"encoding/json"
	"strings"
	"testing"

	"cinderroad/internal/system/validation"
)

func mustParse(t *testing.T, source string) (Value, *validation.Problems) {
	t.Helper()
	problems := &validation.Problems{}
	value, ok := Parse([]byte(source), problems)
	if !ok {
		t.Fatalf("%q: %v", source, problems.Err())
	}
	return value, problems
}

func TestParsePathsAndOffsets(t *testing.T) {
	const source = ` {"a": [ {"b" : 1 } , true ], "c":null }  `
	root, problems := mustParse(t, source)
	var paths []string
	var walk func(value Value)
	walk = func(value Value) {
		paths = append(paths, value.Path())
		if !strings.HasPrefix(source[value.Offset():], string(value.Raw())) {
			t.Errorf("%s does not stand at %d", value.Raw(), value.Offset())
		}
		switch {
		case value.IsObject():
			value.ReadObject(func(_ string, value Value) { walk(value) })
		case value.IsArray():
			value.ReadArray(func(_ int, value Value) { walk(value) })
		}
	}
	walk(root)
	if got := strings.Join(paths, " "); got != " a a[0] a[0].b a[1] c" || problems.Err() != nil {
		t.Errorf("got %q, %v", got, problems.Err())
	}
}

func TestParseRejectsMalformed(t *testing.T) {
	for _, source := range []string{"", " ", "{", "[1,]", "{} {}", "nul", "01", "\"\x01\"", `{"a":1,}`, `{"a"}`, "1.", "-", "+1"} {
		var problems validation.Problems
		if _, ok := Parse([]byte(source), &problems); ok || problems.Len() != 1 {
			t.Errorf("%q: %v", source, problems.Err())
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"a":[1,-2.5e3,"x\u00e9\n",true,null],"a":{}}`))
	f.Add([]byte(" [ ] "))
	f.Fuzz(func(t *testing.T, source []byte) {
		var problems validation.Problems
		value, ok := Parse(source, &problems)
		if ok != json.Valid(source) {
			t.Fatalf("%q: got %v, the standard library says otherwise: %v", source, ok, problems.Err())
		}
		if ok && string(source[value.Offset():value.Offset()+len(value.Raw())]) != string(value.Raw()) {
			t.Fatalf("%q does not stand at %d of %q", value.Raw(), value.Offset(), source)
		}
	})
}
