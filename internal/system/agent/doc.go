// Package agent is the process that runs beside each proxy.
//
// An agent
//   - is a member of the system and announces the state of its proxy to the others (gossip, proxystatus);
//   - follows the feed of one control replica (upstream) and serves it to the proxy over loopback, and to other agents
//     that hold nothing yet (feedserver);
//   - notifies the proxy of the other proxies as soon as they change;
//   - polls the platform's list of runners itself for the partitions of which no control replica is up to date (fallback,
//     overlay).
//
// The agent holds its tables in memory only. After a restart it starts empty and follows any control replica or other
// agent that replies.
//
// The decisions are made by the pure packages below this one; this package has the sockets, timers and goroutines. All
// goroutines are owned by Agent.Run, which waits for them before it returns.
package agent
