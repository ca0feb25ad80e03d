// Package consensus implements the Raft protocol (Ongaro and Ousterhout, 2014) for one group of replicas: leader election
// with pre-votes, log replication, membership changes by single steps and by joint consensus, learners, snapshots,
// linearizable reads, leases and transfer of leadership.
//
// A Node is a deterministic state machine. It does no I/O, starts no goroutine, reads no clock and draws its random numbers
// from a seed. Its driver passes in messages and the time, and does the work that Ready returns:
//
//	for {
//		select {
//		case msg := <-received:
//			node.Step(now(), msg)
//		case <-timer: // set to node.NextTick()
//			node.Tick(now())
//		case command := <-commands:
//			index, term, err := node.Propose(now(), command)
//			...
//		}
//		for ready := node.Ready(); !ready.Empty(); ready = node.Ready() {
//			send(ready.EarlyMessages)
//			write(ready.Snapshot, ready.HardState, ready.Entries) // and sync if ready.MustSync
//			node.MarkPersisted(ready)
//			send(ready.Messages)
//			apply(ready.Snapshot, ready.CommittedEntries)
//			complete(ready.ReadStates)
//			if ready.CompactIndex > 0 { ... } // CreateSnapshot, store it, Compact
//		}
//	}
//
// # Guarantees
//
// As long as drivers keep the rules of Ready and disks keep what they synced: committed entries are the same in all
// replicas and are never lost; a term has at most one leader; a read at the index that ReadIndex returned shows everything
// that was committed before it was requested; while a lease lasts no other replica leads. Messages may be lost, delayed,
// duplicated and reordered.
//
// # Rules for drivers
//
// A driver must not send Messages before the writes of their Ready are synced, must not run two Nodes under one ReplicaID,
// and must not start a Node under the ReplicaID of a disk that was lost or restored: the replica has to join again under
// a new one. Leases need clocks whose rates differ by less than a tenth.
package consensus
