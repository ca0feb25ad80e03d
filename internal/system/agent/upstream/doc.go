// Package upstream chooses the control replica from which an agent follows the feed.
//
// It is a pure state machine: the caller passes in the time and the outcome of each call, and Selector.Next returns the
// next call to make. There is at most one call in flight. Selector performs no I/O, starts no goroutine and is not safe
// for concurrent use.
//
// A replica that replies and is up to date is followed by long polls. A replica that times out, fails or is stale (it
// has been out of touch with a majority for longer than Options.StaleAfter) is replaced by the next candidate and
// retried with exponential backoff. Every Options.ReconsiderInterval the selector tries the candidates that precede the
// followed one, since those are nearer.
//
// Freshness is tracked separately for each partition. If no replica is up to date with all partitions, the selector
// polls all candidates, follows the best of them (see weight) and searches again after Options.PartialInterval.
package upstream
