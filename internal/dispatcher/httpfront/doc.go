// Package httpfront speaks the platform's HTTP/1.1 protocol: with clients and with the runners' callbacks ([Front]), with
// the runners as backends of the dispatcher ([Pool]), and with discovery ([DiscoveryClient]).
//
// The parsers are pure functions over bytes. They take a message only once it is complete, and report ErrIncomplete
// until then; every length is bounded.
//
// A request is written to at most one connection. Whether a lost attempt may have run depends only on whether its last
// byte had been written: nothing is resent silently on another connection.
//
// Everything else belongs to the goroutine of the event loop. Callbacks of the exported fields run there, too.
package httpfront
