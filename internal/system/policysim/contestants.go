package policysim

import "cinderroad/internal/system/placement"

// Placement is the system's own policy, placement.Placer.
func Placement() Contestant {
	create := func(o placement.Options, seed uint64) (Policy, error) { return placement.New(o, seed) }
	return Contestant{Name: "placement", New: create}
}

// Contestants are the system's own policy and its rivals.
func Contestants() []Contestant { return append([]Contestant{Placement()}, Rivals()...) }
