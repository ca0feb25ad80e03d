// Package server assembles a dispatcher process: it reads the configuration, builds the dispatcher with its HTTP and
// Gearman fronts, its discovery client, cluster membership and metrics, and carries the process through reloads, upgrades
// and shutdown.
//
// [ReadConfig], [Config.ReadGearman] and [Config.ReadOperator], in this order, read and check all files; [Run] then serves
// until a signal, a Gearman shutdown command or an unrecoverable error ends it. [Config.Describe] prints what is in force
// without serving.
//
// The package guarantees:
//   - Every accepted job is answered before the process ends: SIGTERM and SIGINT start a graceful shutdown.
//   - A reload (SIGHUP) is applied as a whole or not at all; what it cannot change is logged as needing a restart.
//   - In an upgrade the clients belong to exactly one of the two processes at any time, and whichever process is left
//     serves alone. See [upgrade].
//   - An order of an operator (evacuate, exclude, …) is acknowledged only once it is in force in the process that got it;
//     exclusions are on disk before that, if the process has a $TMPDIR. During an upgrade it is in force in the other
//     process by then, too.
//
// All state of a [Server] belongs to its event loop: every method runs on the loop's goroutine unless its comment says
// otherwise, and nothing on the loop may block. Work that waits for a disk runs on a goroutine of its own and posts its
// result to the loop.
package server
