package counterservice

import (
	"fmt"

	"cinderroad/internal/system/control/status"
	"cinderroad/internal/system/counter"
)

// Describe describes the replica for operators.
func (s *Service) Describe() *status.Counters {
	node, running := s.status()
	description := &status.Counters{
		Ready:          running && !node.CatchingUp,
		Origin:         originName(node.Origin),
		OperationCount: node.Operations,
		EntryCount:     node.Entries,
		UnsyncedCount:  node.Unpersisted,
		Peers:          make([]status.CounterPeer, 0, len(node.Peers)),
	}
	for i := range node.Peers {
		peer := &node.Peers[i]
		description.Peers = append(description.Peers, status.CounterPeer{
			Address:   peer.Address.String(),
			Zone:      peer.Zone,
			Origin:    originName(peer.Origin),
			Reachable: !peer.Excused,
			Lag:       sum(peer.Lag),
			Ahead:     sum(peer.Ahead),
		})
	}
	return description
}

// originName is an origin as operators see it; empty for none.
func originName(origin counter.Origin) string {
	if origin == 0 {
		return ""
	}
	return fmt.Sprintf("%016x", uint64(origin))
}

// sum returns the number of entries of all origins.
func sum(entries map[counter.Origin]uint64) (total uint64) {
	for _, count := range entries {
		total += count
	}
	return total
}
