// Package api serves the operator's HTTP API of the control machines. Every control machine serves it: a change is
// proposed through the local replica, which forwards it to the leader, and acknowledged once a majority has committed it.
//
// The package guarantees:
//
//   - A change that was acknowledged is committed. A change that was rejected with a 4xx status is not in force and never
//     will be, whichever other copies of it are still in flight.
//   - Changes are idempotent: one that is sent again unchanged, to any machine, is committed once and acknowledged each
//     time.
//   - 503 promises nothing: the change may or may not come into force. Callers send it again, unchanged.
//   - A read returns at least what was acknowledged before the call.
//   - Every call is answered within ResponseTimeout of the end of the request (large bodies have more time), and within
//     IsolatedResponseTimeout by a machine that has lost contact with the majority.
//
// API is the http.Handler. It is safe for concurrent use and bounds the number of concurrent calls itself.
package api
