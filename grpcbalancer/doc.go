// Package grpcbalancer lets grpc-go clients spread their unary calls over servers by the decisions of package
// loadbalancer, and under the same rules as the dispatcher.
//
// A Dispatcher serves one ClientConn; DialOptions connects the two. Its interceptor owns each call: its class, its
// deadline, its one final answer. Where an attempt goes is decided by the same core that the dispatcher uses
// (package dispatch), and the picker of the registered balancer carries that out. The library itself retries
// nothing. Addresses carry the zone, kind and state of their servers (WithServerInfo), which the resolver attaches.
//
// Streams are not supported: their calls fail with the code Unimplemented. A Dispatcher is safe for concurrent use.
// Callers must not set another load balancing configuration or a retry policy on the ClientConn.
package grpcbalancer
