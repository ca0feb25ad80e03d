// Package replica runs this machine's replicas of all control partitions. It connects each consensus node to its
// durable storage, to the replicas on other machines over RPC, and to the state machine that applies committed commands.
//
// A Host has one group for each partition. Messages, timers, proposals and reads step the group's consensus.Node; its
// output goes to the disk writer, which stores it in batches, and to the peers once it is durable where the protocol
// requires that. All of it runs under the host's mutex, and nothing that blocks does.
//
// What the package guarantees to its callers, see Replicas:
//
//   - A command whose Propose returned without an error is committed by a majority of voters, with their disks synced,
//     and applied in the same order on all replicas.
//   - Barrier makes reads of the local state machine linearizable.
//   - While LeaderLease holds, no other replica leads the partition.
//   - A replica whose disk fails or hangs releases leadership; it follows again once the disk works.
//
// The leader of each group also maintains its membership: it adds replicas that ask to join as learners, moves votes to
// the members that make the group most fault tolerant, and removes those that are absent for long. planChange decides on that alone,
// without I/O. Machines of the seed list found the groups at their first boot; every other replica joins, with a random
// ID, so that a replica that lost its disk never votes twice in a term whose vote it has forgotten.
//
// Callers must serve the handlers that Register adds until Stop returns, and must not call the host from OnApplied.
package replica
