package counter

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// heartbeatInterval is the time between two exchanges with an idle peer.
	heartbeatInterval = time.Second
	// retryInterval is the time between two attempts to reach a peer that fails.
	retryInterval = 300 * time.Millisecond
	// pushInterval is the time between two pushes to a peer that is not eager.
	pushInterval = 200 * time.Millisecond
	// offerInterval is the time after a reply that carried them until the same entries are pushed, if the peer has not
	// confirmed them: its own next push does that.
	offerInterval = 2 * pushInterval
	// distantPushInterval is the same for a peer that lacks more than distantLag entries, which pulls them.
	distantPushInterval = time.Second
	distantLag          = 1024
	// widenAfter is how long a call of Add waits before its operation is sent to all peers at once.
	widenAfter = 60 * time.Millisecond
	// pullAfter is how long a peer holds more than this replica before it is asked for it: mostly, pushes bring it sooner.
	pullAfter = 300 * time.Millisecond
	// urgentLag is the number of entries that are pulled without waiting.
	urgentLag = 512
	// maxExchangeBytes is the size of the entries in one message, beyond which none is added.
	maxExchangeBytes = 64 << 10
	// probeBytes is the same for a peer that fails: enough that its reply waits for its disk, so that a peer whose disk is stalled
	// stays excused.
	probeBytes = 1
	// spareEagerPeers is the number of eager peers beyond those that an acknowledgement needs.
	spareEagerPeers = 1
)

// forever is a time after all others.
const forever = time.Duration(math.MaxInt64)

// planExchanges sends what is due, and returns when it has to be called again at the latest.
func (n *Node) planExchanges() (next time.Duration) {
	next = n.now + maxTickInterval
	next = min(next, n.watchLags())
	n.startPull()
	eager := n.eagerPeers()
	for _, known := range n.peers {
		if !known.inFlight {
			due, pushBytes := n.dueAt(known, slices.Contains(eager, known))
			if due <= n.now {
				n.sendExchange(known, pushBytes, false)
			} else {
				next = min(next, due)
			}
		}
		if excused := known.excusedFrom(n); excused > n.now {
			next = min(next, excused)
		}
	}
	return next
}

// dueAt returns when the next exchange with a peer is due, and the size beyond which no entry is added to it.
func (n *Node) dueAt(known *peer, eager bool) (due time.Duration, pushBytes int) {
	if !known.responsive(n) {
		return known.sentAt + retryInterval, probeBytes
	}
	due = known.sentAt + heartbeatInterval
	if lag := n.ownLag(known); lag > 0 {
		switch {
		case eager:
			due = n.now
		case lag <= distantLag:
			due = max(known.sentAt+pushInterval, known.offeredAt+offerInterval)
		default:
			due = known.sentAt + distantPushInterval
		}
	}
	for i := range n.waiters {
		waiter := &n.waiters[i]
		if !n.operations.at(waiter.index).durable || n.confirmedBy(known, waiter) {
			continue
		}
		if eager {
			due = n.now
		}
		due = min(due, waiter.since+widenAfter)
	}
	return due, maxExchangeBytes
}

// ownLag returns the number of entries of the own origin that a peer is not known to hold.
func (n *Node) ownLag(known *peer) uint64 {
	return n.own.durable - min(n.own.durable, known.vector[n.own.origin])
}

// eagerPeers returns the fastest peers that give the needed machines and zones, and a spare one.
func (n *Node) eagerPeers() (eager []*peer) {
	var candidates []*peer
	for _, known := range n.peers {
		if known.responsive(n) {
			candidates = append(candidates, known)
		}
	}
	slices.SortFunc(candidates, byRoundTrip)
	var chosen copies
	chosen.add(n.options.Zone)
	take := func(wanted func(known *peer) bool) {
		for _, known := range candidates {
			if !slices.Contains(eager, known) && wanted(known) {
				eager = append(eager, known)
				chosen.add(known.zone())
			}
		}
	}
	take(func(known *peer) bool {
		return len(chosen.zones) < n.options.Durability.Zones && !slices.Contains(chosen.zones, known.zone())
	})
	take(func(*peer) bool { return chosen.machines < n.options.Durability.Machines })
	limit := len(eager) + spareEagerPeers
	take(func(*peer) bool { return len(eager) < limit })
	return eager
}

// watchLags sets targets for the logs that peers hold more of. It returns when the next of them is to be pulled.
func (n *Node) watchLags() (next time.Duration) {
	next = forever
	behind := n.logs.behind[:0]
	for _, log := range n.logs.behind {
		if log.seen <= log.length() {
			log.isBehind = false
			continue
		}
		behind = append(behind, log)
		if log.pullTarget <= log.length() {
			log.pullTarget = log.seen
			log.targetSince = n.now
		}
		if !n.lags(log) {
			next = min(next, log.targetSince+pullAfter)
		}
	}
	n.logs.behind = behind
	return next
}

// lags reports whether entries of a log are to be pulled. What is on its way to the disk has arrived.
func (n *Node) lags(log *operationLog) bool {
	if log.pullTarget <= log.length() {
		return false
	}
	isUrgent := !n.ready || log.pullTarget-log.length() > urgentLag
	return isUrgent || n.now-log.targetSince >= pullAfter
}

// startPull asks the fastest peer that holds what this replica lacks, one at a time.
func (n *Node) startPull() {
	if n.pulling != nil && n.now-n.pulling.sentAt < pullAfter {
		return
	}
	var source *peer
	for _, known := range n.peers {
		available := !known.inFlight && known.responsive(n) && n.now >= known.noPullUntil
		if !available || !n.holdsMore(known) {
			continue
		}
		if source == nil || byRoundTrip(known, source) < 0 {
			source = known
		}
	}
	if source == nil {
		return
	}
	n.pulling = source
	source.noPullUntil = n.now + pullAfter // unless the reply brings something
	pushBytes := maxExchangeBytes
	if n.ownLag(source) > distantLag {
		pushBytes = 0 // it pulls
	}
	n.sendExchange(source, pushBytes, true)
}

// holdsMore reports whether a peer holds entries that are to be pulled. A log whose last entries are on their way to the disk
// waits: the request, which names what is durable, would bring them again.
func (n *Node) holdsMore(known *peer) bool {
	for _, log := range n.logs.behind {
		isSettled := log.length() == log.durable
		if isSettled && n.lags(log) && known.vector[log.origin] > log.durable {
			return true
		}
	}
	return false
}

// sendExchange sends a request to a peer, with entries up to a size.
func (n *Node) sendExchange(known *peer, pushBytes int, pull bool) {
	request := &ExchangeRequest{From: n.self, Vector: n.vector(), Pull: pull}
	if known.replied && pushBytes > 0 {
		request.Ranges = n.pushedRanges(known, pushBytes)
	}
	known.inFlight = true
	known.sentAt = n.now
	if !known.unanswered {
		known.unanswered = true
		known.unansweredSince = n.now
	}
	n.exchanges = append(n.exchanges, Exchange{Peer: known.Address, Request: request})
}

// pushedRanges encodes the entries of the own origin, and those that calls of Add wait for, which a peer lacks.
func (n *Node) pushedRanges(known *peer, limit int) []byte {
	encoder := newRangeEncoder(limit)
	wanted := map[*operationLog]uint64{n.own: n.own.durable}
	for i := range n.waiters {
		index := n.waiters[i].index
		stored := n.operations.at(index)
		log := n.logs.all[stored.log]
		if stored.durable && uint64(stored.sequence) <= log.durable && !n.heldBy(known, index) {
			wanted[log] = max(wanted[log], uint64(stored.sequence))
		}
	}
	for _, log := range n.logs.sorted {
		n.addRange(encoder, log, known.vector[log.origin], wanted[log])
	}
	return encoder.finish(&n.self)
}

// missingRanges encodes the entries that are durable here and that a requester lacks.
func (n *Node) missingRanges(vector VersionVector) []byte {
	encoder := newRangeEncoder(maxExchangeBytes)
	for _, log := range n.logs.sorted {
		n.addRange(encoder, log, vector[log.origin], log.durable)
	}
	return encoder.finish(&n.self)
}

// addRange adds the entries of a log after one sequence number up to another.
func (n *Node) addRange(encoder *rangeEncoder, log *operationLog, after, last uint64) {
	if after >= last {
		return
	}
	encoder.add(log.origin, after+1, last, func(sequence uint64) Operation {
		return n.operations.operationAt(log.entries[sequence-1])
	})
}

// replyTo returns the reply to a request whose entries are durable.
func (n *Node) replyTo(request *pendingRequest) *ExchangeReply {
	reply := &ExchangeReply{From: n.self, Vector: n.vector()}
	requester := n.byAddress[request.from]
	switch {
	case request.pull:
		reply.Ranges = n.missingRanges(request.vector)
	case requester != nil && !requester.inFlight && n.ownLag(requester) > 0 && n.ownLag(requester) <= distantLag:
		// Instead of a push of its own:
		encoder := newRangeEncoder(maxExchangeBytes)
		n.addRange(encoder, n.own, requester.vector[n.own.origin], n.own.durable)
		reply.Ranges = encoder.finish(&n.self)
		requester.offeredAt = n.now
	}
	return reply
}

// takeReplies replies to the requests whose entries are durable.
func (n *Node) takeReplies() []Reply {
	replies := n.replies
	n.replies = nil
	waiting := n.requests[:0]
	for _, request := range n.requests {
		if request.durableAt > n.persisted {
			waiting = append(waiting, request)
			continue
		}
		replies = append(replies, Reply{ID: request.id, Reply: n.replyTo(&request)})
	}
	clear(n.requests[len(waiting):])
	n.requests = waiting
	slices.SortFunc(replies, func(a, b Reply) int { return cmp.Compare(a.ID, b.ID) })
	return replies
}
