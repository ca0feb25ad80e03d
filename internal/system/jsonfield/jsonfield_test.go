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

func read(t *testing.T, source string) (Value, *validation.Problems) {
	t.Helper()
	list := &validation.Problems{}
	value, ok := Parse([]byte(source), list)
	if !ok {
		t.Fatalf("%q: %v", source, list.Err())
	}
	return value, list
}

func TestReadTellsPlacesAndOffsets(t *testing.T) {
	const source = ` {"a": [ {"b" : 1 } , true ], "c":null }  `
	root, list := read(t, source)
	var places []string
	var walk func(value Value)
	walk = func(value Value) {
		places = append(places, value.Path())
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
	if got := strings.Join(places, " "); got != " a a[0] a[0].b a[1] c" || list.Err() != nil {
		t.Errorf("got %q, %v", got, list.Err())
	}
}

func TestReadRefusesWhatIsNotOneValue(t *testing.T) {
	for _, source := range []string{"", " ", "{", "[1,]", "{} {}", "nul", "01", "\"\x01\"", `{"a":1,}`, `{"a"}`, "1.", "-", "+1"} {
		var list validation.Problems
		if _, ok := Parse([]byte(source), &list); ok || list.Len() != 1 {
			t.Errorf("%q: %v", source, list.Err())
		}
	}
}

func TestNumbersOfAnyNotation(t *testing.T) {
	for _, source := range []string{"3", "3.0", "3e0", "30E-1", "0.3e+1"} {
		value, list := read(t, source)
		integer, _ := value.Int()
		unsigned, _ := value.Uint64()
		length, _ := value.Duration(time.Second)
		if integer != 3 || unsigned != 3 || length != 3*time.Second || list.Err() != nil {
			t.Errorf("%s: %d, %d, %v, %v", source, integer, unsigned, length, list.Err())
		}
	}
	value, list := read(t, fmt.Sprint(uint64(math.MaxUint64)))
	if unsigned, ok := value.Uint64(); !ok || unsigned != math.MaxUint64 {
		t.Errorf("got %d, %v", unsigned, list.Err())
	}
}

func TestWhatIsNotExpectedIsAFinding(t *testing.T) {
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
		value, list := read(t, name)
		if check(value) || list.Len() != 1 {
			t.Errorf("%s: %v", name, list.Err())
		}
	}
}

func TestStrictObjectFindsFieldsThatConflict(t *testing.T) {
	for count := 1; count < 100; count += 7 {
		var source strings.Builder
		for i := range count {
			fmt.Fprintf(&source, `"f%d":%d,`, i, i)
		}
		fields := strings.TrimSuffix(source.String(), ",")
		value, list := read(t, "{"+fields+","+fields+"}")
		told := 0
		value.ReadStrictObject(func(string, Value) { told++ })
		if told != count || list.Err() != nil {
			t.Errorf("%d fields: %d told, %v", count, told, list.Err())
		}
		value, list = read(t, "{"+fields+`,"f0":1}`)
		value.ReadStrictObject(func(string, Value) {})
		var found *validation.Error
		if !errors.As(list.Err(), &found) || found.Problems[0].Path != "f0" {
			t.Errorf("%d fields: got %v", count, list.Err())
		}
	}
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(`{"a":[1,-2.5e3,"x\u00e9\n",true,null],"a":{}}`))
	f.Add([]byte(" [ ] "))
	f.Fuzz(func(t *testing.T, source []byte) {
		var list validation.Problems
		value, ok := Parse(source, &list)
		if ok != json.Valid(source) {
			t.Fatalf("%q: got %v, the standard library says otherwise: %v", source, ok, list.Err())
		}
		if ok && string(source[value.Offset():value.Offset()+len(value.Raw())]) != string(value.Raw()) {
			t.Fatalf("%q does not stand at %d of %q", value.Raw(), value.Offset(), source)
		}
	})
}
