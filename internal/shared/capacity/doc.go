// Package capacity is the core that the dispatcher's load balancer (package loadbalancer) and the system's placement
// (package placement) share.
//
// Limits are the concurrency limits of a worker, learnt from how its jobs end. SpareCapacity is what a plan leaves below
// them, Warmth how much of it counts during slow start. Selection picks the worker with the most spare capacity, and
// Ejection keeps jobs away from a worker whose attempts fail.
//
// A worker is a dispatcher's worker or a proxy's runner; a job is what it takes, there a job and here an attempt of a request.
//
// The package is pure: no I/O, no clock, no goroutine, no allocation. Loads are in slots, the jobs that a worker runs at a
// time; times and durations are seconds of the caller's clock. No type is safe for concurrent use. The order of all
// floating-point operations is part of its behaviour: recorded runs are replayed bit for bit.
package capacity
