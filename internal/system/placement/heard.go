package placement

import (
	"math"
	"time"
)

// Each proxy sees few of a runner's requests, so proxies tell each other what all of them need to know: the prompts that
// they have runners read, and that a runner which had been silent answers again. Nothing hangs on the arrival of a notice:
// where none comes for a while, the load of the others is guessed from a proxy's own.

// NoticeKind says what a notice is about.
type NoticeKind uint8

// The kinds of notices.
const (
	NoticePrefill  NoticeKind = iota + 1 // the runner is to read a prompt
	NoticeRecovery                       // the runner had been silent and answers again
)

// Notice is what a proxy tells others of a runner.
type Notice struct {
	Kind      NoticeKind
	RunnerKey uint64 // its key
	Tokens    int    // of the prompt, where there is one
}

// prefillBacklog is what a runner has yet to read of all prompts that are known. It grows by each prompt and shrinks at the speed
// of reading.
type prefillBacklog struct {
	slots     float64 // at the time below
	updatedAt time.Duration
}

// remaining is what has not been read by now, in slots; rate is how many slots are read in a second.
func (u *prefillBacklog) remaining(now time.Duration, rate float64) float64 {
	return math.Max(0, u.slots-rate*(now-u.updatedAt).Seconds())
}

// add adds a prompt.
func (u *prefillBacklog) add(now time.Duration, rate, slots float64) {
	u.slots, u.updatedAt = u.remaining(now, rate)+slots, now
}

// prefillRate is how many slots of prompts an engine reads in a second; 0: its speed is not known.
func (s *serviceState) prefillRate() float64 {
	if !s.isEngine() {
		return 0
	}
	return s.prefillSpeed / s.slotTokens()
}

// HandleNotice takes the notice of another proxy.
func (p *Placer) HandleNotice(now time.Duration, notice Notice) {
	p.recordCall(now)
	if notice.Kind == NoticePrefill {
		p.notified, p.lastNoticeAt = true, now
		p.noticeCount++
	}
	runner := p.byKey[notice.RunnerKey]
	if runner == nil {
		return
	}
	switch notice.Kind {
	case NoticePrefill:
		p.addPeerPrefill(now, runner, notice.Tokens)
	case NoticeRecovery:
		runner.markAlive(now)
	}
}

// addPeerPrefill takes it that a runner reads a prompt of another proxy.
func (p *Placer) addPeerPrefill(now time.Duration, runner *runnerState, tokens int) {
	if !runner.service.isEngine() {
		return
	}
	slots := float64(tokens) / runner.service.slotTokens()
	runner.backlog.add(now, runner.service.prefillRate(), slots)
	runner.load, runner.spareSlots = runner.load+slots, runner.spareSlots-slots
}

// PrefillNotice is what the other proxies are to be told of an attempt that was sent; false: its prompt is too short to
// matter.
func (a *Attempt) PrefillNotice() (Notice, bool) {
	if !a.announced {
		return Notice{}, false
	}
	return Notice{Kind: NoticePrefill, RunnerKey: a.runner.key, Tokens: int(a.prefillTokens)}, true
}

// adjustNoticeThreshold has longer prompts alone told while too many notices come: all proxies hear the same, so each would spend its
// processor on the more notices the more proxies there are. In a period without too many, shorter ones are told again.
func (p *Placer) adjustNoticeThreshold(elapsed float64) {
	if float64(p.noticeCount) > maxNoticeRate*elapsed {
		p.noticeThreshold *= noticeThresholdGrowth
	} else {
		p.noticeThreshold = math.Max(minNoticeThreshold, p.noticeThreshold*noticeThresholdDecay)
	}
	p.noticeCount = 0
}

// RecoveryNotice is what the other proxies are to be told of an attempt whose answer has begun; false: nothing, since the
// runner had not been silent before.
func (a *Attempt) RecoveryNotice() (Notice, bool) {
	if !a.recovered {
		return Notice{}, false
	}
	return Notice{Kind: NoticeRecovery, RunnerKey: a.runner.key}, true
}

// hasRecentNotices says whether the prompts that other proxies send to runners are known.
func (p *Placer) hasRecentNotices(now time.Duration) bool {
	return p.notified && now-p.lastNoticeAt < noticeValidity
}
