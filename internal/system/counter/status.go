package counter

import "time"

// Status describes a Node, for operators and metrics.
type Status struct {
	Origin       Origin
	Vector       VersionVector // what is durable here
	Peers        []PeerStatus  // by address
	Operations   int           // distinct operations kept, durable or not
	Entries      int           // in all logs; bounded by Options.MaxOperations
	Unpersisted  int           // of these, not durable yet
	PendingAdds  int           // calls of Add that wait
	Counters     int
	OriginResets int  // how often the disk was found to have gone back in time
	CatchingUp   bool // reads are not answered yet
	Required     Durability
}

// PeerStatus describes a peer.
type PeerStatus struct {
	Peer
	Origin      Origin // 0: not known
	Excused     bool
	HasReplied  bool              // to this process
	LastReply   time.Duration     // if HasReplied
	RoundTrip   time.Duration     // smoothed duration of its exchanges
	Lag         map[Origin]uint64 // entries that are durable here, and that it is not known to hold
	Ahead       map[Origin]uint64 // entries that it holds and that are not durable here
	IsExchanged bool              // an exchange is in flight
}

// Status returns the present state as of the last call with a time.
func (n *Node) Status() Status {
	status := Status{
		Origin:       n.own.origin,
		Vector:       n.logs.vector(),
		Operations:   int(n.operations.count),
		Entries:      n.logs.entries,
		Unpersisted:  len(n.queue),
		PendingAdds:  len(n.waiters),
		Counters:     len(n.operations.counters),
		OriginResets: n.resets,
		CatchingUp:   !n.ready,
		Required:     n.required(),
	}
	for _, known := range n.peers {
		status.Peers = append(status.Peers, PeerStatus{
			Peer:        Peer{Address: known.Address, Zone: known.zone()},
			Origin:      known.origin,
			Excused:     known.excused(n),
			HasReplied:  known.replied,
			LastReply:   known.lastReply,
			RoundTrip:   known.roundTrip,
			Lag:         difference(status.Vector, known.vector),
			Ahead:       difference(known.vector, status.Vector),
			IsExchanged: known.inFlight,
		})
	}
	return status
}

// TotalLag returns the number of entries that are durable here, and that the peer is not known to hold.
func (s *PeerStatus) TotalLag() uint64 { return sum(s.Lag) }

// TotalAhead returns the number of entries that the peer holds and that are not durable here.
func (s *PeerStatus) TotalAhead() uint64 { return sum(s.Ahead) }

func sum(entries map[Origin]uint64) (total uint64) {
	for _, count := range entries {
		total += count
	}
	return total
}

// difference returns by how much a vector is beyond another one, for the origins where it is.
func difference(vector, other VersionVector) map[Origin]uint64 {
	beyond := map[Origin]uint64{}
	for origin, sequence := range vector {
		if held := other[origin]; sequence > held {
			beyond[origin] = sequence - held
		}
	}
	return beyond
}
