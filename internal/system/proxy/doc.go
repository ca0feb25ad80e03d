// Package proxy is the data plane: it accepts requests of clients over HTTP/1.1, asks a Placer for a runner, forwards
// the request and relays the response.
//
// # Guarantees
//
// A request is buffered completely before it is sent. Whether it may have been executed depends on its last byte: no
// runner can have started before the kernel has accepted that byte, and afterwards only a response that says so proves
// that nothing was executed. A request that is not idempotent is therefore sent to a second runner only if no runner can
// have executed it, and a client gets status 503, 429, 408 or 421 only in that case. A response that was cut off never looks
// complete. On shutdown, every request that was read gets a response.
//
// # Structure
//
// A session is the connection of a client and an exchange one request on it with its response. An attempt sends the
// request to one runner on a runnerConn of the pool; the exchange may make several, one after the other. A watchdog
// probes machines that have become silent, and a peerNotifier tells the other proxies what runners are working on.
//
// # Concurrency
//
// Everything runs on the goroutine of the event loop and nothing is locked. What comes from elsewhere, updates of the
// control plane and signals, must be posted to the loop. Nothing here may block.
package proxy
