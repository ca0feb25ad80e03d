package counter

// beginNewOrigin continues in the log of a new origin, after a peer was found to hold more of the own log than this disk, which
// therefore went back in time. Operations that this process has accepted stand under sequence numbers that were used before:
// peers would take them for known, so that they are logged again. What others hold under those numbers stays missing here.
func (n *Node) beginNewOrigin() {
	previous := n.own
	firstReused := n.ownStart + 1
	n.own = n.logs.get(n.options.NewOrigin())
	n.ownStart = n.own.length()
	n.self.Origin = n.own.origin
	n.newOrigin = n.own.origin
	n.resets++
	n.encodedVector = nil
	for sequence := firstReused; sequence <= previous.length(); sequence++ {
		index := previous.entries[sequence-1]
		n.appendToLog(n.own, index)
		n.operations.move(index, position{previous, sequence}, position{n.own, n.own.length()})
	}
}
