// Package feed replicates the control state from the control replicas to agents and proxies.
//
// The state is divided into partitions. Each partition numbers its changes with an ascending index, and each item
// carries the index of its last change. A [Table] holds one partition: a control replica changes it by [Table.Put] and
// [Table.Delete], a follower by [Table.Apply], and both serve further followers by [Table.BatchSince].
//
// A follower names the index that it holds and receives every item that changed since, each once and in its newest
// state, or a snapshot if the deletions since that index are no longer known. A table never goes back to an older index,
// so batches may arrive late, repeatedly or from different senders.
//
// The message types ([Batch], [Item], [FollowRequest], [FollowReply], [ProxyReport] and their parts) are sent in gob
// form between processes of different versions: their fields must not be renamed, reordered or given another meaning.
//
// Tables are not safe for concurrent use, and the values of items must not be altered once they are stored.
package feed
