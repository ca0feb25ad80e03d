// Package rpc carries calls between the system's own processes: net/rpc with gob over TCP, with the timeouts and limits that
// net/rpc leaves to its users. A Client dials when needed, bounds every call and closes a connection on which a call timed
// out; a server bounds its connections, their calls and the size of requests. A call is declared beside its handler, and once more
// beside a client that must not link the handler's package; the name and the types must agree:
//
//	var FollowMethod = rpc.Declare[feed.FollowRequest, feed.FollowReply]("Feed.Follow")
//
//	FollowMethod.Handle(registry, follower.follow)               // the server
//	reply, err := FollowMethod.Invoke(ctx, client, &request)     // the client
//
// A call is sent at most once. After an *UnreachableError it was not sent, after a *NoReplyError the handler may have run
// or not: a caller may repeat only calls that are idempotent.
//
// The types of arguments and replies travel by gob: their names and those of their fields must not change, nor must the
// names of calls.
package rpc
