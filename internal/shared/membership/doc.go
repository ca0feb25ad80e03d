// Package membership maintains the list of a cluster's members: SWIM with the additions of Lifeguard, and digests by which
// members detect that their views have converged.
//
// The package is a pure state machine. A Node takes the time, messages and local metadata from its caller, and hands out
// packets to send (TakePackets) and changes of members (TakeChanges). It performs no I/O, has no clock, starts no goroutine
// and draws its random numbers from a given seed, so the same input gives the same output. It is not safe for concurrent
// use. All times are in seconds on one monotonic clock of the caller's, on which 0 means "never".
//
// To run a node:
//   - call Start once, then HandleMessage for each decoded datagram and Tick whenever NextTick is due;
//   - after each call, send what TakePackets returns and process what TakeChanges returns;
//   - call HandlePause if the process did not run for a while (suspended, or short of CPU).
//
// Failure detection: in each probe interval a node pings one member. If no ack comes, it asks a few others to ping the
// member (IndirectPing), who reply with an ack or a nack. If still no ack has come by the end of the interval, the member
// becomes Suspect, and Dead after a timeout that shrinks as more members confirm the suspicion. A member refutes a
// suspicion with a higher incarnation. A node that fails to get acks and nacks lengthens its own timeouts (awareness).
//
// Dissemination: records that changed are broadcast along with every message, and alone to a few random members at each
// tick, each a logarithmic number of times. Every message carries digests of the sender's view. Where they differ, the two
// exchange digests of shards of the view, and then the records of the shards that differ.
//
// Identity: a member is a name. Generation tells the runs of its process apart, Incarnation the refutations within a run.
// Of two processes with one name, the one that started later keeps it; the other withdraws.
//
// Messages come from the network and are not authenticated: Decode rejects what is malformed, and all state that others
// can cause is bounded.
//
// SWIM: Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol", DSN
// 2002. Lifeguard: Dadgar, Phillips, Currey, "Lifeguard: Local Health Awareness for More Accurate Failure Detection", 2018.
package membership
