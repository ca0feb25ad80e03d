// Package feedserver serves the feed of the control state by long polls: a follower names the index that it holds of each
// partition, and the call stays open until something changed since.
//
// The package guarantees:
//
//   - A reply holds every change of the configuration partition since the follower's index: what is in force together
//     arrives together. Runner partitions may arrive over several replies, bounded by MaxReplyBytes.
//   - Each reply has the age of every partition, so that the follower knows what is stale. An open call ends as soon as a
//     partition that the follower takes for current turns stale.
//   - Changes wake followers at once, but not more often than each CoalesceInterval.
//   - Large replies together stay below Options.BulkBytesPerSecond. A follower whose turn is far off is told when to call
//     again.
//
// Control machines serve their replicas with it, agents what they follow. A Server is safe for concurrent use.
package feedserver
