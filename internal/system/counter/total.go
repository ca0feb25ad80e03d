package counter

import (
	"math/big"
	"math/bits"
)

// Total is the value of a counter: a signed number of 128 bits, which no sum of amounts exceeds. The zero value is 0.
type Total struct {
	high int64
	low  uint64
}

// Add returns the sum of a total and an amount.
func (t Total) Add(amount int64) Total {
	low, carry := bits.Add64(t.low, uint64(amount), 0)
	high := t.high + amount>>63 + int64(carry) // amount>>63 is its sign: 0 or -1
	return Total{high: high, low: low}
}

// Subtract returns the difference of a total and an amount.
func (t Total) Subtract(amount int64) Total {
	low, borrow := bits.Sub64(t.low, uint64(amount), 0)
	high := t.high - amount>>63 - int64(borrow)
	return Total{high: high, low: low}
}

// Compare returns -1, 0 or 1: whether t is below, equal to or above other.
func (t Total) Compare(other Total) int {
	switch {
	case t == other:
		return 0
	case t.high < other.high || t.high == other.high && t.low < other.low:
		return -1
	}
	return 1
}

// String returns the decimal number.
func (t Total) String() string {
	number := new(big.Int).Lsh(big.NewInt(t.high), 64)
	return number.Add(number, new(big.Int).SetUint64(t.low)).String()
}
