// Package placement decides which runner takes a request of the system.
//
// A Placer holds the decisions of one proxy. The design is shared with the dispatcher's load balancer (package
// capacity): concurrency limits of each runner are learnt from outcomes, spare capacity below them is planned each
// period, and a request goes to the eligible runner of its service with the most spare capacity, in the nearest
// allowed region. Placement adds what only engines need: token memory, prefix caches and streams.
//
// # Use
//
// The caller reports what it knows (SetServices, SetRunners, SetEvacuatedZones, SetPeers or SetProxyCount,
// HandleNotice) and calls Tick at the times that Tick returns. For each request it calls Place; a Choice reserves
// nothing until StartAttempt. Each attempt that was started must be ended by one EndAttempt, whatever became of it.
// Before another attempt of the same request the caller asks MayRetry.
//
// # Guarantees
//
//   - No runner gets a request that a rule excludes (draining, evacuated, outside the route's home regions, without the
//     model or the memory), on the ordinary path, on the fallback and on retries alike: see isEligible.
//   - Over all proxies together, runners in slow start and the retry budget stay within their bounds, as long as each
//     proxy knows of all others that have run for at least joinDelay: see slow_start.go and retries.go.
//   - The same calls with the same seed give the same decisions, bit for bit. A choice allocates no memory.
//
// A Placer does no I/O, has no clock and starts no goroutine. It is not safe for concurrent use: one goroutine calls
// it.
//
// # Constants
//
// A constant is a ratio wherever a time or an amount can be derived from the settings or from what is observed. Its comment
// says where the value is from:
//
//   - tried: docs/decisions.md ("Constants") or docs/design/placement.md compares it with other values;
//   - kept: it was measured for earlier deployments (docs/design/placement.md) and not tried for the present ones;
//   - otherwise it was set by judgement, and no comparison is recorded.
//
// TestDistribution holds bounds on what the constants of the prefix cache and of the capacity plan achieve together.
//
// # Units
//
// Times are of the caller's steady clock and must not go back. Loads are in slots, the requests that a runner serves
// at a time; the prefill of a long prompt weighs more than one slot (see attempt.go).
package placement
