package experiment

import "cinderroad/internal/placement"

// Placement is the system's own policy, placement.Placer.
func Placement() Contestant {
	return Contestant{Name: "placement", New: func(o placement.Options, seed uint64) (Policy, error) { return placement.New(o, seed) }}
}

// Contestants are the system's own policy and its rivals.
func Contestants() []Contestant { return append([]Contestant{Placement()}, Rivals()...) }
