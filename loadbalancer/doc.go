// Package loadbalancer decides for a dispatcher that pushes jobs to workers: which worker gets a request,
// when it is retried or hedged, and when it is answered without having been served.
//
// # Use
//
// The caller owns the network. It creates one Balancer for each dispatcher process and calls one method
// for each event: Start, UpdateWorkers, HandleRequest, HandleProgress, HandleOutcome, HandleFirstByte,
// HandleDisconnect, HandleProbeResult and HandleTimer. The Balancer calls the caller's Actions from
// within these methods and at no other time. The caller delivers exactly one Outcome for each Send, and
// each timer that was set once.
//
// # Guarantees
//
//   - Each request gets exactly one final answer: a worker's, Reject or Fail. Reject promises that a retry
//     is harmless.
//   - A job that may have run is sent again only where its class allows it (isEligible, the one gate of all
//     sends).
//   - Draining and departed workers get nothing. Over all instances together, a worker in slow start gets
//     no more work than its budget (slow_start.go).
//   - The same events with the same seed lead to the same actions, bit for bit; the order of floating-point
//     operations is part of that. In the steady state an arrival allocates no memory.
//
// A Balancer has no clock, does no I/O and starts no goroutine. One goroutine calls it, with times that
// never go back. All times and durations are in seconds, loads in slots. Only Snapshot and
// Restore carry state from one process to the next.
//
// # Files
//
// The decisions are in the files that deploy/balancer.toml lists as its policy: balancer.go is their
// schedule, plan.go the capacity plan, and each other file one decision. The remaining files hold state
// and the events that change it. The core that the decisions share with the system's placement is package
// capacity.
//
// Time and load constants are ratios: every time and amount derives from the settings or from what is
// observed.
package loadbalancer
