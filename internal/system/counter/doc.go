// Package counter implements replicated counters that stay available on both sides of a network partition: an
// operation-based CRDT with operation logs by origin, version vectors and anti-entropy.
//
// The value of a counter is the sum of the amounts of all distinct operation IDs. Each disk has an operation log of its own,
// whose origin is a random number; an accepted operation gets the next sequence number of that origin. A replica holds the
// logs of all origins, each without a gap; how far it holds them durably is its version vector. Replicas exchange vectors and
// the entries that the other one lacks. Applying the same entries in any order, any number of times, gives the same totals:
// an ID that was accepted at two replicas counts once, and of two operations under one ID the smaller counts, by counter and
// amount, on all replicas.
//
// A Node is a deterministic state machine. It does no I/O, starts no goroutine and reads no clock. Its driver passes in calls,
// messages and the time, and after each of them does the work that Ready returns:
//
//	node.Add(operation, now) // or HandleRequest, HandleReply, HandleFailure, HandlePersisted, SetPeers, Tick
//	ready := node.Ready(now)
//	write(ready.Entries)     // in order; node.HandlePersisted once they are synced
//	send(ready.Exchanges)    // node.HandleReply or node.HandleFailure for each, exactly once
//	reply(ready.Replies)
//	acknowledge(ready.Acknowledged)
//	timer.Reset(ready.NextTick)
//
// # Guarantees
//
// As long as disks keep what they synced: an operation is applied, sent and counted in a vector only once it is durable here,
// so that no sequence number that another replica has seen is used twice. An acknowledged operation is durable on as many
// machines and zones as Durability asks for, or on as many as are not excused: a peer is excused while no exchange with it has
// succeeded for some time. Totals on replicas that can reach each other, directly or through others, become equal.
//
// # Rules for drivers
//
// The entries with which a Node starts must be synced: those that a killed process wrote and did not sync could still be lost
// after they were sent. A Node must not start under the origin of a disk that was lost or restored. A failed write must be
// repeated, or the Node made anew from what is on disk. Tick is called at Ready.NextTick at the latest: a longer gap between two
// calls is taken for a pause of the process, which moves all time limits. An exchange whose reply doesn't come must end
// in HandleFailure within a second, since no other is sent to that peer before.
package counter
