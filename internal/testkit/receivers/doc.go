// Package receivers has fakes of the systems that a dispatcher delivers metrics to, a carbon and a collectd, and
// relays for TCP and UDP that inject network faults between processes; all listen on loopback. The receivers are
// written from the public descriptions of the protocols, and decode by code of their own where the sender uses a
// library, so that no error of a library cancels itself out. They store everything received, and misbehave on
// request.
package receivers
