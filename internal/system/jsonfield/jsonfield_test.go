package jsonfield

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

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

func TestNumberNotations(t *testing.T) {
	for _, source := range []string{"3", "3.0", "3e0", "30E-1", "0.3e+1"} {
		value, problems := mustParse(t, source)
		integer, _ := value.Int()
		unsigned, _ := value.Uint64()
		length, _ := value.Duration(time.Second)
		if integer != 3 || unsigned != 3 || length != 3*time.Second || problems.Err() != nil {
			t.Errorf("%s: %d, %d, %v, %v", source, integer, unsigned, length, problems.Err())
		}
	}
	value, problems := mustParse(t, fmt.Sprint(uint64(math.MaxUint64)))
	if unsigned, ok := value.Uint64(); !ok || unsigned != math.MaxUint64 {
		t.Errorf("got %d, %v", unsigned, problems.Err())
	}
}

func TestUnexpectedValueIsAProblem(t *testing.T) {
	for name, check := range map[string]func(Value) bool{
		`"x"`:                  func(v Value) bool { _, ok := v.Int(); return ok },
		"3.5":                  func(v Value) bool { _, ok := v.Int(); return ok },
		"9223372036854775808":  func(v Value) bool { _, ok := v.Int(); return ok },
		"-1":                   func(v Value) bool { _, ok := v.Uint64(); return ok },
		"18446744073709551616": func(v Value) bool { _, ok := v.Uint64(); return ok },
		"1e999":                func(v Value) bool { _, ok := v.Float(); return ok },
		"-0.5":                 func(v Value) bool { _, ok := v.NonNegativeFloat(); return ok },
		"1e300":                func(v Value) bool { _, ok := v.Duration(time.Second); return ok },
		"1":                    func(v Value) bool { _, ok := v.Text(); return ok },
		"0":                    func(v Value) bool { _, ok := v.Bool(); return ok },
		`["a",1]`:              func(v Value) bool { _, ok := v.Texts(); return ok },
		"{}":                   func(v Value) bool { return v.ReadArray(nil) },
		"[]":                   func(v Value) bool { return v.ReadObject(nil) },
		`"10.0.0"`:             func(v Value) bool { _, ok := v.Addr(); return ok },
		`"10.0.0.1"`:           func(v Value) bool { _, ok := v.AddrPort(); return ok },
	} {
		value, problems := mustParse(t, name)
		if check(value) || problems.Len() != 1 {
			t.Errorf("%s: %v", name, problems.Err())
		}
	}
}

func TestReadStrictObjectReportsConflicts(t *testing.T) {
	for count := 1; count < 100; count += 7 {
		var source strings.Builder
		for i := range count {
			fmt.Fprintf(&source, `"f%d":%d,`, i, i)
		}
		fields := strings.TrimSuffix(source.String(), ",")
		value, problems := mustParse(t, "{"+fields+","+fields+"}")
		fieldCount := 0
		value.ReadStrictObject(func(string, Value) { fieldCount++ })
		if fieldCount != count || problems.Err() != nil {
			t.Errorf("%d fields: %d told, %v", count, fieldCount, problems.Err())
		}
		value, problems = mustParse(t, "{"+fields+`,"f0":1}`)
		value.ReadStrictObject(func(string, Value) {})
		var validationError *validation.Error
		if !errors.As(problems.Err(), &validationError) || validationError.Problems[0].Path != "f0" {
			t.Errorf("%d fields: got %v", count, problems.Err())
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
