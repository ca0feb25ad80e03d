// Package counterservice runs a control machine's replica of the replicated counters: it drives a counter.Node with the time, the
// disk (package counterstore) and the exchanges with the replicas of other control machines, and serves the HTTP calls that add
// to a counter and read its total.
//
// The service's mutex guards the node. No I/O is done while it is held: one goroutine owns the store, and each exchange runs on
// one of its own, so that a disk or a peer that hangs delays nothing else.
//
// An addition is answered
//
//   - 200 once it is replicated,
//   - 503 only if the call did nothing: the disk was not asked to keep its operation,
//   - 504 if it may be counted, now or later; it may be sent again, anywhere, under its ID.
package counterservice
