package membership

import (
	"fmt"
	"net/netip"
)

// nameClaim is another process that claims this node's name with a later generation.
type nameClaim struct {
	generation uint64 // of the other process; 0: no claim
	addr       netip.AddrPort
	seq        uint64  // of the pings; 0: none was sent yet
	attempts   int     // pings sent
	retryAt    float64 // time of the next ping
}

// handleNameClaim handles a record of another process with this node's name. msg is that process's own message, nil if
// another member sent the record.
func (n *Node) handleNameClaim(record *Record, msg *Message) {
	if record.Generation < n.self.Generation {
		if msg != nil { // it does not know of this node, or checks whether it is alive
			self := n.selfRecord()
			n.send(record.Addr, &Message{Kind: Ack, Seq: msg.Seq, Subject: &self})
			n.NameClaims++
		}
		return
	}
	if record.Generation == n.self.Generation {
		return
	}
	if record.State >= Dead || record.Addr == n.self.Addr {
		// A former run whose clock was ahead: no other process can have this address.
		n.advanceGeneration(record.Generation)
		return
	}
	acknowledged := msg != nil && msg.Kind == Ack && n.nameClaim.seq != 0 && msg.Seq == n.nameClaim.seq
	if acknowledged { // the ping of probeNameClaim
		n.withdraw(record)
		return
	}
	if n.nameClaim.generation >= record.Generation || n.withdrawn {
		return
	}
	n.NameClaims++
	n.nameClaim = nameClaim{generation: record.Generation, addr: record.Addr, retryAt: n.now}
	n.probeNameClaim()
}

// probeNameClaim pings the process that claims the name. A record alone can be forged, or come from a clock that was
// wrong; an ack from its address proves that the process exists.
func (n *Node) probeNameClaim() {
	claim := &n.nameClaim
	if claim.generation == 0 || n.now < claim.retryAt {
		return
	}
	if claim.attempts == nameClaimAttempts {
		n.advanceGeneration(claim.generation)
		return
	}
	n.probeSeq++
	if claim.seq == 0 {
		claim.seq = n.probeSeq
	}
	claim.attempts++
	claim.retryAt = n.now + n.ProbeInterval
	n.send(claim.addr, &Message{Kind: Ping, Seq: claim.seq})
}

// advanceGeneration takes a later generation than that of a process that has ended or never existed.
func (n *Node) advanceGeneration(generation uint64) {
	n.nameClaim = nameClaim{}
	if generation+1 == 0 || n.withdrawn {
		return
	}
	n.toggleSelfDigest()
	n.self.Generation = generation + 1
	n.self.Incarnation = 0
	n.Generation = n.self.Generation
	n.toggleSelfDigest()
	n.changes = append(n.changes, Change{
		Name:  n.self.Name,
		Cause: "a later start under this name is known, and nobody stands there: begun anew after it",
	})
	n.queueBroadcast(n.self.Name)
}

// withdraw leaves the name to the process that started later.
func (n *Node) withdraw(record *Record) {
	if n.withdrawn {
		return
	}
	n.withdrawn = true
	n.recognized = false
	n.Withdrawals++
	n.nameClaim = nameClaim{generation: record.Generation, addr: record.Addr}
	n.nameReclaimAt = n.now + nameReclaimInterval*n.ProbeInterval
	n.changes = append(n.changes, Change{
		Name:  n.self.Name,
		To:    Left,
		Cause: fmt.Sprintf("another process has this name, at %s, and began later: this one takes no part until it has gone", record.Addr),
	})
}

// reclaimName checks from time to time whether the name is free again: the other process is pinged, and superseded if
// no ack comes.
func (n *Node) reclaimName() {
	if n.now < n.nameReclaimAt {
		return
	}
	n.nameReclaimAt = n.now + nameReclaimInterval*n.ProbeInterval
	n.withdrawn = false
	n.self.State = Alive
	n.nameClaim = nameClaim{generation: n.nameClaim.generation, addr: n.nameClaim.addr, retryAt: n.now}
	n.probeNameClaim()
}

// Withdrawn reports whether another process has the name. A withdrawn node takes no part in the cluster.
func (n *Node) Withdrawn() bool { return n.withdrawn }
