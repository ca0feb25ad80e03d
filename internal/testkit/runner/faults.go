package runner

import "math/rand/v2"

// Faults are the shares of requests that a runner spoils, each in its own way.
type Faults struct {
	Truncate    float64 // the answer ends in the middle
	ExtraBytes  float64 // bytes come after the whole answer, that nobody asked for
	StaleAnswer float64 // another answer with the same id comes in place of the next one on that connection
	Garbage     float64 // bytes that are not an answer
	NoAnswer    float64 // no answer comes
	Reset       float64 // the connection is reset before an answer, and after the work
	Close       float64 // the connection is closed before an answer, and without work
	MaxFaults   int     // requests that are spoilt at most; 0: any number
}

// faultKind is a way to spoil a request.
type faultKind uint8

const (
	faultNone faultKind = iota
	faultTruncate
	faultExtraBytes
	faultStaleAnswer
	faultGarbage
	faultNoAnswer
	faultReset
	faultClose
)

// draw draws what happens to a request.
func (f *Faults) draw(random *rand.Rand) faultKind {
	left := random.Float64()
	for i, share := range []float64{f.Truncate, f.ExtraBytes, f.StaleAnswer, f.Garbage, f.NoAnswer, f.Reset, f.Close} {
		if left -= share; left < 0 {
			return faultKind(i + 1)
		}
	}
	return faultNone
}
