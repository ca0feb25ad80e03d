// Package versions records which version of discovery's list each dispatcher of a cluster holds, and what peers know of
// workers that this dispatcher's own list is too old to know. It also spreads the operators' orders that exclude members,
// and decides on this dispatcher's lease.
//
// A Table is a membership.Delegate: its payloads go along with the membership's messages. It is pure and not safe for
// concurrent use; times are in seconds of Unix time, on the caller's clock.
//
// What peers send only ever restricts. A peer's fact of a worker binds if it is newer than the own list, of the same source
// and epoch: a worker that drains or is gone gets nothing new, and one with a later start is in slow start. The next list of
// the own discovery that is as new overrides all facts. No payload makes a worker ready that the own list does not call
// ready, nor adds a worker that the list does not name: addresses are never taken from a peer.
//
// Payloads come from the network: what they can make a Table store is bounded, and a fact that the own discovery, while
// live, does not confirm within confirmTimeout is dropped.
package versions
