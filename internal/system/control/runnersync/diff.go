// Package duty keeps the runners' partitions equal to the platform's list. One machine of the system does so: the one
// that leads partition 0, and only while a majority grants it that. While partition 0 has no leader, each partition of
// runners is kept by the machine that leads it.
package runnersync

import (
	"bytes"
	"slices"
	"time"

	"cinderroad/internal/system/control/state"
	"cinderroad/internal/system/discovery"
	"cinderroad/internal/system/feed"
)

// Bounds of what counts as a change of a time that runs down by itself.
const (
	remainingTolerance    = 400 * time.Millisecond // between what is listed and what the item's age lets expect
	slowStartSettleDelay  = 2 * time.Second        // after its end, a cold time is written as 0: ages are lost with a restart
	noticeRewriteInterval = 1 * time.Second        // after which a short notice is written again, for the same reason
)

// storedRunner is a runner as the partition holds it.
type storedRunner struct {
	runner    discovery.Runner
	changedAt time.Duration // steady time of the item's change
}

func (h *storedRunner) encodesTo(value []byte) bool {
	return bytes.Equal(discovery.EncodeRunner(h.runner), value)
}

// expectedRemaining is what is left of a time that ran down since the item was written.
func (h *storedRunner) expectedRemaining(left, now time.Duration) time.Duration {
	return max(0, left-(now-h.changedAt))
}

// needsWrite says whether the list's entry is to be written.
func (h *storedRunner) needsWrite(listed *discovery.Runner, now time.Duration) bool {
	if !equalExceptTimes(&h.runner, listed) {
		return true
	}
	if exceedsTolerance(h.expectedRemaining(h.runner.SlowStartRemaining, now), listed.SlowStartRemaining) {
		return true
	}
	if h.noticeNeedsWrite(listed, now) {
		return true
	}
	return listed.SlowStartRemaining == 0 && h.runner.SlowStartRemaining > 0 && now-h.changedAt > h.runner.SlowStartRemaining+slowStartSettleDelay
}

// noticeNeedsWrite says whether the time left of a runner that is taken away at short notice is to be written.
func (h *storedRunner) noticeNeedsWrite(listed *discovery.Runner, now time.Duration) bool {
	if listed.TimeToTermination == 0 {
		return false
	}
	if h.runner.TimeToTermination == 0 || now-h.changedAt >= noticeRewriteInterval {
		return true
	}
	return exceedsTolerance(h.expectedRemaining(h.runner.TimeToTermination, now), listed.TimeToTermination)
}

func exceedsTolerance(a, b time.Duration) bool {
	return a-b > remainingTolerance || b-a > remainingTolerance
}

// equalExceptTimes compares all that does not change by itself.
func equalExceptTimes(a, b *discovery.Runner) bool {
	return a.ID == b.ID && a.Service == b.Service && a.Address == b.Address && a.Zone == b.Zone &&
		a.Capacity == b.Capacity && a.Draining == b.Draining && a.Phase == b.Phase && slices.Equal(a.Models, b.Models)
}

// partitionView is a partition's runners as the local replica holds them, kept up to date from its feed.
type partitionView struct {
	index   uint64
	runners map[string]storedRunner // by key
}

// update takes the changes since the view's index.
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
		delete(v.runners, item.Key) // the list has it written anew
		return
	}
	v.runners[item.Key] = storedRunner{runner: runner, changedAt: now - item.Age}
}

// diff returns what brings the view to the list, in the order of keys. Runners that are held and not listed are
// deleted if gone says so.
func (v *partitionView) diff(listed map[string]*discovery.Runner, now time.Duration, gone func(key string) bool) []state.Write {
	var out []state.Write
	for key, runner := range listed {
		h, known := v.runners[key]
		if known && !h.needsWrite(runner, now) {
			continue
		}
		value := discovery.EncodeRunner(*runner)
		if known && h.encodesTo(value) {
			anew := *runner
			anew.SlowStartRemaining++ // an equal value would keep its index and age
			value = discovery.EncodeRunner(anew)
		}
		out = append(out, state.Write{Key: key, Value: value})
	}
	for key := range v.runners {
		if listed[key] == nil && gone(key) {
			out = append(out, state.Write{Key: key, Deleted: true})
		}
	}
	slices.SortFunc(out, func(a, b state.Write) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	return out
}
