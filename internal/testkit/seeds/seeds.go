// Package seeds reads from the environment which seeds a simulation runs, so that a failing one can be replayed.
package seeds

import (
	"fmt"
	"os"
	"strconv"
)

// Variables of the environment.
const (
	One   = "MODEL_SEED"       // runs this seed alone
	Count = "MODEL_SEEDS"      // runs that many
	First = "MODEL_FIRST_SEED" // from this one on; default: 0
)

// FromEnvironment returns the seeds to run: those that the environment asks for, otherwise the first ones.
func FromEnvironment(defaultCount uint64) (seeds []uint64, err error) {
	first, err := number(First, 0)
	if err != nil {
		return nil, err
	}
	count, err := number(Count, defaultCount)
	if err != nil {
		return nil, err
	}
	if os.Getenv(One) != "" {
		count = 1
		if first, err = number(One, 0); err != nil {
			return nil, err
		}
	}
	for i := range count {
		seeds = append(seeds, first+i)
	}
	return seeds, nil
}

// number returns a variable's value, or another one if it is not set.
func number(name string, otherwise uint64) (uint64, error) {
	text := os.Getenv(name)
	if text == "" {
		return otherwise, nil
	}
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%s: %w", name, err)
	}
	return value, nil
}
