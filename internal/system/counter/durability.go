package counter

// copies counts the machines, and the distinct zones, that a set of replicas stands on.
type copies struct {
	machines int
	zones    []string
}

// add adds a replica. One whose zone is not known may be in the zone of another.
func (c *copies) add(zone string) {
	c.machines++
	if zone == "" {
		return
	}
	for _, known := range c.zones {
		if known == zone {
			return
		}
	}
	c.zones = append(c.zones, zone)
}

// reach reports whether there are as many copies as a durability asks for.
func (c *copies) reach(required Durability) bool {
	return c.machines >= required.Machines && len(c.zones) >= required.Zones
}

// required returns the durability that an acknowledgement needs now: the configured one, or as much as this replica and
// the peers that are not excused can give.
func (n *Node) required() Durability {
	if n.now < n.graceEnd {
		return n.options.Durability
	}
	var reachable copies
	reachable.add(n.options.Zone)
	for _, peer := range n.peers {
		if !peer.excused(n) {
			reachable.add(peer.zone())
		}
	}
	return Durability{
		Machines: min(n.options.Durability.Machines, reachable.machines),
		Zones:    min(n.options.Durability.Zones, len(reachable.zones)),
	}
}

// heardFromEnough reports whether this process has had replies from as many peers as the durability asks for.
func (n *Node) heardFromEnough() bool {
	var heard copies
	heard.add(n.options.Zone)
	for _, peer := range n.peers {
		if peer.replied {
			heard.add(peer.zone())
		}
	}
	return heard.reach(n.options.Durability)
}

// replicated reports whether an operation that counts is durable on as many machines as required.
func (n *Node) replicated(waiting *waiter, required Durability) bool {
	if !n.operations.at(waiting.index).durable || n.outvoted(waiting.index) {
		return false
	}
	var holders copies
	holders.add(n.options.Zone)
	for _, peer := range n.peers {
		if n.confirmedBy(peer, waiting) {
			holders.add(peer.zone())
		}
	}
	return holders.reach(required)
}

// confirmedBy reports whether a peer holds an operation durably by its reply to an exchange that was sent since the call of
// Add. What it held before, by an earlier vector, may be lost with its disk.
func (n *Node) confirmedBy(peer *peer, waiting *waiter) bool {
	return peer.answeredSentAt >= waiting.since && n.heldBy(peer, waiting.index)
}

// heldBy reports whether an operation is durable at a peer, under any of the origins by which it is known here.
func (n *Node) heldBy(peer *peer, index operationIndex) bool {
	stored := n.operations.at(index)
	if peer.vector[n.logs.all[stored.log].origin] >= uint64(stored.sequence) {
		return true
	}
	for _, at := range n.operations.moreLogs[index] {
		if peer.vector[at.log.origin] >= at.sequence {
			return true
		}
	}
	return false
}

// takeAcknowledged removes and returns the calls of Add that need not wait any longer.
func (n *Node) takeAcknowledged() (acknowledged []AddID) {
	if len(n.waiters) == 0 {
		return nil
	}
	required := n.required()
	waiting := n.waiters[:0]
	for _, waiter := range n.waiters {
		if n.replicated(&waiter, required) {
			acknowledged = append(acknowledged, waiter.id)
		} else {
			waiting = append(waiting, waiter)
		}
	}
	n.waiters = waiting
	return acknowledged
}
