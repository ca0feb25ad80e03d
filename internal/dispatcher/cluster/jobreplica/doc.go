// Package jobreplica replicates the state of durable jobs to several members of a cluster, so that what a majority has
// committed survives the loss of any minority, disks included. The consensus is internal/system/consensus; this package adds
// what a cluster without stable storage needs: replicas whose identity ends with their memory, their replacement, proposals
// made at any replica, and datagrams for messages of any size.
//
// A Replica performs no I/O, has no clock and draws its random numbers from a given seed, so the same input gives the same
// output. It is not safe for concurrent use. All times are in seconds on one monotonic clock of the caller's.
//
// To run a member:
//   - create a Replica with New; at the first replicas of a new cluster, and once only, call Bootstrap;
//   - call Tick at least once in a HeartbeatInterval, Step for each message received, and SetCandidates as members come and go;
//   - after each call, send what TakeOutput returns and act on the commands that were applied;
//   - a Fragmenter makes datagrams of the messages, and messages of datagrams;
//   - when Err wraps a *ReplacedError, start anew: another Replica with another Member.ID and an empty StateMachine.
//
// Safety: Member.ID names one incarnation. A process that has lost its memory must come back under another ID; under the
// same one it would vote twice in a term. A replica persists nothing, hence a commit is lost if a majority of the voters
// lose their memory at once.
//
// Replacement: the leader adds a learner for a voter that has been silent for ReplaceAfter, waits until it has caught up,
// removes the lost voter and makes the learner a voter, in this order and one membership change at a time.
package jobreplica
