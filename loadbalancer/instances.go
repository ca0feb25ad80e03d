package loadbalancer

import (
	"fmt"
	"math"

	"cinderroad/internal/shared/capacity"
)

// InstanceShare is an instance's position among those that share the workers, where it is not fixed by
// the settings.
type InstanceShare struct {
	Instances    int      // that share the workers
	Instance     int      // the number of this one, from 0
	BudgetShare  float64  // of slow start budgets, above 0; below 1 while others may not count this one
	InstanceKeys []uint64 // of all instances in the order of their numbers; nil: turns go by numbers
}

// SetInstanceShare sets the position; call it between events. It decides nothing itself. An invalid one
// changes nothing.
func (b *Balancer) SetInstanceShare(share InstanceShare) error {
	isInstanceValid := share.Instance >= 0 && share.Instance < share.Instances // so that Instances is at least 1
	isBudgetValid := share.BudgetShare > 0 && share.BudgetShare <= 1
	areKeysValid := share.InstanceKeys == nil || len(share.InstanceKeys) == share.Instances
	if !isInstanceValid || !isBudgetValid || !areKeysValid {
		return fmt.Errorf("loadbalancer: invalid instance share: %d of %d, budget share %v, %d keys",
			share.Instance, share.Instances, share.BudgetShare, len(share.InstanceKeys))
	}
	b.Instances = share.Instances
	b.Instance = share.Instance
	b.budgetShare = share.BudgetShare
	b.instanceKeys = share.InstanceKeys
	b.instanceKeysVersion++
	b.maxHedgeBudget = maxHedges(share.Instances)
	b.hedgeBudget = math.Min(b.hedgeBudget, b.maxHedgeBudget)
	return nil
}

// maxHedges is how many hedged requests one of the instances may save up.
func maxHedges(instances int) float64 { return math.Max(1, hedgeStock/float64(instances)) }

// turnOrder is this instance's position, from 0 on, in the order of a worker's turn. By the keys, an
// instance that knows of more instances never comes earlier: so the holders under views that differ are
// never more than under one view.
func (b *Balancer) turnOrder(worker *workerState, turn uint64) int {
	hash := capacity.Hash(uint64(worker.ID) + capacity.Hash(turn))
	if b.instanceKeys == nil {
		first := int(hash % uint64(b.Instances))
		return (b.Instance + b.Instances - first) % b.Instances
	}
	if worker.orderKeysVersion != b.instanceKeysVersion || worker.orderTurn != turn {
		worker.orderKeysVersion = b.instanceKeysVersion
		worker.orderTurn = turn
		worker.order = 0
		own := capacity.Hash(hash ^ b.instanceKeys[b.Instance])
		for _, key := range b.instanceKeys {
			if capacity.Hash(hash^key) < own {
				worker.order++
			}
		}
	}
	return worker.order
}
