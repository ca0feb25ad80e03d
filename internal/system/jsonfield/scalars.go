package jsonfield

import (
	"math"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/jx"
)

// Text reads a string.
func (v Value) Text() (string, bool) {
	if v.kind() != jx.String {
		v.AddProblem("must be a string")
		return "", false
	}
	text, err := jx.DecodeBytes(v.raw).Str()
	return text, v.checkSyntax(err)
}

// Texts reads an array of strings.
func (v Value) Texts() ([]string, bool) {
	var texts []string
	allText := true
	read := v.ReadArray(func(_ int, element Value) {
		text, ok := element.Text()
		allText = allText && ok
		texts = append(texts, text)
	})
	return texts, read && allText
}

// Bool reads true or false.
func (v Value) Bool() (bool, bool) {
	if v.kind() != jx.Bool {
		v.AddProblem("must be true or false")
		return false, false
	}
	value, err := jx.DecodeBytes(v.raw).Bool()
	return value, v.checkSyntax(err)
}

// Float reads a number of any notation that a float64 can hold.
func (v Value) Float() (float64, bool) {
	if v.kind() != jx.Number {
		v.AddProblem("must be a number")
		return 0, false
	}
	value, err := strconv.ParseFloat(string(v.raw), 64)
	if err != nil {
		v.AddProblem("must be a number within the range of a 64-bit float")
		return 0, false
	}
	return value, true
}

// NonNegativeFloat reads a number that is not negative.
func (v Value) NonNegativeFloat() (float64, bool) {
	number, ok := v.Float()
	if ok && number < 0 {
		v.AddProblem("must not be negative")
		return 0, false
	}
	return number, ok
}

// Duration reads a duration that is written as a number of the given unit and is not negative.
func (v Value) Duration(unit time.Duration) (time.Duration, bool) {
	const maxNanoseconds = 1 << 62
	number, ok := v.NonNegativeFloat()
	if !ok {
		return 0, false
	}
	nanoseconds := number * float64(unit)
	if nanoseconds > maxNanoseconds {
		v.AddProblem("is too long a time")
		return 0, false
	}
	return time.Duration(nanoseconds), true
}

// SplitDurationUnit splits the unit off the name of a field that holds a duration, such as wait_ms or wait_s. The unit
// of a name without one is 0.
func SplitDurationUnit(name string) (base string, unit time.Duration) {
	if base, found := strings.CutSuffix(name, "_ms"); found {
		return base, time.Millisecond
	}
	if base, found := strings.CutSuffix(name, "_s"); found {
		return base, time.Second
	}
	return name, 0
}

// Int reads an integer of any notation, so that 3, 3.0 and 3e0 are the same.
func (v Value) Int() (int, bool) {
	if value, err := strconv.ParseInt(string(v.raw), 10, 0); err == nil {
		return int(value), true
	}
	value, ok := v.Float()
	if !ok {
		return 0, false
	}
	const limit = 1 << 63
	if value != math.Trunc(value) || value >= limit || value < -limit {
		v.AddProblem("must be a whole number")
		return 0, false
	}
	return int(value), true
}

// Int64 reads an integer of any notation without a loss of precision: one that is not written as digits alone must be within
// the range in which float64 and integers correspond one to one.
func (v Value) Int64() (int64, bool) {
	if value, err := strconv.ParseInt(string(v.raw), 10, 64); err == nil {
		return value, true
	}
	value, ok := v.Float()
	if !ok {
		return 0, false
	}
	const limit = 1 << 53
	switch {
	case value != math.Trunc(value):
		v.AddProblem("must be a whole number")
		return 0, false
	case value >= limit || value <= -limit:
		v.AddProblem("must be a whole number of at most 64 bits, written as digits")
		return 0, false
	}
	return int64(value), true
}

// Uint64 reads an integer of any notation that is not negative.
func (v Value) Uint64() (uint64, bool) {
	if value, err := strconv.ParseUint(string(v.raw), 10, 64); err == nil {
		return value, true
	}
	value, ok := v.Float()
	if !ok {
		return 0, false
	}
	const limit = 1 << 64
	if value != math.Trunc(value) || value >= limit || value < 0 {
		v.AddProblem("must be a whole number that is not negative")
		return 0, false
	}
	return uint64(value), true
}

// Addr reads a string with an IP address.
func (v Value) Addr() (netip.Addr, bool) {
	text, ok := v.Text()
	if !ok {
		return netip.Addr{}, false
	}
	address, err := netip.ParseAddr(text)
	if err != nil {
		v.AddProblem("must be an IP address")
		return netip.Addr{}, false
	}
	return address, true
}

// AddrPort reads a string with an IP address and a port.
func (v Value) AddrPort() (netip.AddrPort, bool) {
	text, ok := v.Text()
	if !ok {
		return netip.AddrPort{}, false
	}
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		v.AddProblem("must be IP:PORT")
		return netip.AddrPort{}, false
	}
	return address, true
}
