package policysim

import "cinderroad/internal/system/placement"

// PlacementPolicy is the system's own policy, placement.Placer.
func PlacementPolicy() PolicyFactory {
	create := func(o placement.Options, seed uint64) (Policy, error) { return placement.New(o, seed) }
	return PolicyFactory{Name: "placement", New: create}
}

// Policies are the system's own policy and its rivals.
func Policies() []PolicyFactory {
	return append([]PolicyFactory{PlacementPolicy()}, BaselinePolicies()...)
}
