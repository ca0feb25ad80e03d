// Package cluster makes this dispatcher a member of its cluster. It runs the state machines of packages membership,
// versions and quota on the event loop: one UDP socket, one timer, no goroutine of its own. All functions and methods must
// be called on the loop's goroutine, and so are all callbacks.
//
// What the state machines decide reaches the dispatcher through callbacks: its share of the budget of workers in slow start
// (the onShare argument of Start) and whether it may take new work (Options.OnLease).
package cluster
