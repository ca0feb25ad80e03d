package runnersync

import (
	"bytes"
	"slices"
	"strings"
	"time"

	"cinderroad/internal/system/control/state"
	"cinderroad/internal/system/discovery"
	"cinderroad/internal/system/feed"
)

// Runners have times that count down by themselves. They are compared with what is left of the stored value, so that a
// countdown alone writes nothing.
const (
	// remainingTolerance is the difference between listed and expected remaining time that is not written.
	remainingTolerance = 400 * time.Millisecond
	// slowStartSettleDelay is the time after the end of a slow start when its value is written as 0. Ages of items are
	// lost when a replica restarts; without the write the slow start would begin again.
	slowStartSettleDelay = 2 * time.Second
	// noticeRewriteInterval is the time after which a termination notice is written again, for the same reason.
	noticeRewriteInterval = 1 * time.Second
)

// storedRunner is a runner as the partition holds it.
type storedRunner struct {
	runner    discovery.Runner
	changedAt time.Duration // time of the item's last change by Options.Now
}

func (s *storedRunner) encodesTo(value []byte) bool {
	return bytes.Equal(discovery.EncodeRunner(s.runner), value)
}

// expectedRemaining is the remaining time, at now, of a countdown that was at remaining when the item was written.
func (s *storedRunner) expectedRemaining(remaining, now time.Duration) time.Duration {
	return max(0, remaining-(now-s.changedAt))
}

// needsWrite reports whether the list's entry is to be written.
func (s *storedRunner) needsWrite(listed *discovery.Runner, now time.Duration) bool {
	if !s.runner.EqualExceptTimes(listed) {
		return true
	}
	if exceedsTolerance(s.expectedRemaining(s.runner.SlowStartRemaining, now), listed.SlowStartRemaining) {
		return true
	}
	if s.noticeNeedsWrite(listed, now) {
		return true
	}
	slowStartIsOver := now-s.changedAt > s.runner.SlowStartRemaining+slowStartSettleDelay
	return listed.SlowStartRemaining == 0 && s.runner.SlowStartRemaining > 0 && slowStartIsOver
}

// noticeNeedsWrite reports whether the time to termination is to be written.
func (s *storedRunner) noticeNeedsWrite(listed *discovery.Runner, now time.Duration) bool {
	if listed.TimeToTermination == 0 {
		return false
	}
	if s.runner.TimeToTermination == 0 || now-s.changedAt >= noticeRewriteInterval {
		return true
	}
	return exceedsTolerance(s.expectedRemaining(s.runner.TimeToTermination, now), listed.TimeToTermination)
}

func exceedsTolerance(left, right time.Duration) bool {
	return left-right > remainingTolerance || right-left > remainingTolerance
}

// partitionView is the runners of a partition as the local replica holds them, updated from its feed.
type partitionView struct {
	index   uint64                  // of the last change that is included
	runners map[string]storedRunner // by key
}

// update applies the changes since the view's index.
func (v *partitionView) update(batch feed.Batch, now time.Duration) {
	if batch.To <= v.index {
		return
	}
	if batch.Snapshot || v.runners == nil {
		v.runners = make(map[string]storedRunner, len(batch.Items))
	}
	v.index = batch.To
	for i := range batch.Items {
		v.applyItem(&batch.Items[i], now)
	}
}

func (v *partitionView) applyItem(item *feed.Item, now time.Duration) {
	if item.Deleted {
		delete(v.runners, item.Key)
		return
	}
	runner, err := discovery.DecodeRunner(item.Value)
	if err != nil {
		delete(v.runners, item.Key) // not in the view, it is written again from the list
		return
	}
	v.runners[item.Key] = storedRunner{runner: runner, changedAt: now - item.Age}
}

// diff returns the writes that make the view equal to the list, ordered by key. Runners that are stored and not listed are
// deleted if shouldDelete reports so.
func (v *partitionView) diff(
	listed map[string]*discovery.Runner, now time.Duration, shouldDelete func(key string) bool,
) []state.Write {
	var writes []state.Write
	for key, runner := range listed {
		stored, exists := v.runners[key]
		if exists && !stored.needsWrite(runner, now) {
			continue
		}
		value := discovery.EncodeRunner(*runner)
		if exists && stored.encodesTo(value) {
			changed := *runner
			changed.SlowStartRemaining++ // by a nanosecond: an equal value would not count as a change, and keep its age
			value = discovery.EncodeRunner(changed)
		}
		writes = append(writes, state.Write{Key: key, Value: value})
	}
	for key := range v.runners {
		if listed[key] == nil && shouldDelete(key) {
			writes = append(writes, state.Write{Key: key, Deleted: true})
		}
	}
	slices.SortFunc(writes, func(a, b state.Write) int { return strings.Compare(a.Key, b.Key) })
	return writes
}
