// Package jobstate is the replicated state machine of durable jobs: the jobs that the cluster has accepted, their results,
// and the workers that an operator has excluded. internal/dispatcher/cluster/jobreplica replicates it.
//
// A State changes only by Apply, which takes the commands of the replicated log in the order of their indexes. It performs
// no I/O, has no clock and draws no random numbers: its time is the latest that a command has brought. Two states to which
// the same commands were applied are therefore equal bit for bit, and so are their Snapshots and Digests.
//
// A job goes through these states:
//
//	CommandSubmit -> Waiting
//	CommandSend:    Waiting or Sent -> Sent, under the next fencing token
//	CommandEnd:     Waiting or Sent -> Done or Failed; with NotRun -> Waiting
//	CommandAbandon: Sent -> Waiting, or Unknown if its effect forbids another send
//
// Done, Failed and Unknown are final: a job ends once. Its result is retained for Limits.ResultRetentionMS.
//
// Callers must send a job's first byte to a worker only after its CommandSend has been applied without an error, and must
// not change what Job, FindByKey, Waiting and SentBy return. A State is not safe for concurrent use. An error of Apply
// itself means that this program can't read the log; the replica must stop, since others may have applied the command.
package jobstate
