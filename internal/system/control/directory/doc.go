// Package directory tells clients which edge proxies to connect to. Choose selects them from what this machine knows of
// the edge machines: the proxies in the best state, of these the nearest, and enough of them that no single one takes the
// load of its zone. Handler serves the choice over HTTP.
//
// A reply is never empty while any proxy's address is known: a proxy that seems to be dead is better than none. Clients
// cache replies for the TTL that they contain, up to three times as long, so that the TTL limits for how long a proxy
// that has stopped is still used.
package directory
