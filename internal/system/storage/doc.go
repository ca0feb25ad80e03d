// Package storage persists the consensus state of a machine's replicas, of all partitions, in one SQLite file of the state
// folder.
//
// Updates are synced once Store.Write has returned nil: they survive a kill of the process and a power loss. A failed write leaves
// nothing behind, and later ones succeed as soon as the disk works again. One goroutine owns the file; requests that wait
// at the same time are committed together, with one sync.
//
// One process only may open a state folder. A folder must not be copied or restored from a backup to start a replica: its
// votes and its log would be those of an earlier time, under the same consensus.ReplicaID.
package storage
