package jsonfield

import (
	"fmt"
	"math"
	"testing"
	"time"
)

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

// TestInt64IsExact: an integer is read as it is written, or not at all.
func TestInt64IsExact(t *testing.T) {
	for source, want := range map[string]int64{
		"9223372036854775807":  math.MaxInt64,
		"-9223372036854775808": math.MinInt64,
		"-9007199254740993":    -9007199254740993,
		"9007199254740991.0":   9007199254740991,
		"3e0":                  3,
		"-0":                   0,
	} {
		value, problems := mustParse(t, source)
		if got, ok := value.Int64(); !ok || got != want {
			t.Errorf("%s: %d, %v", source, got, problems.Err())
		}
	}
	for _, source := range []string{"9223372036854775808", "9007199254740993.0", "-9007199254740992e0", "0.5", "1e400", `"3"`, "null"} {
		value, problems := mustParse(t, source)
		if got, ok := value.Int64(); ok || problems.Len() != 1 {
			t.Errorf("%s: %d, %v", source, got, problems.Err())
		}
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
