// Package gossip maintains the list of the system's processes: agents (role Edge) and control replicas (role Control).
//
// It runs the pure state machine of package membership (SWIM) on a UDP socket. One goroutine receives datagrams and wakes
// up when the state machine's next tick is due. The mutex guards all state; no call blocks on the network but for the
// time to hand a datagram to the kernel.
//
// Views are eventually consistent. A member that is reported dead may be cut off from this process only, so callers that
// divide a common budget count a dead proxy for Options.DeadProxyTTL (ProxyCount, Peers), and a process that nobody
// acknowledges any more uses LastConfirmedView.
//
// Options.OnChange is called on the receiving goroutine. It must neither block nor call Leave or Close.
package gossip
