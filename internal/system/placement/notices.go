package placement

import (
	"math"
	"time"
)

// This file decides what proxies announce to each other. Each proxy sees few of a runner's requests, so they announce the
// long prompts that they send, and that a suspect runner responds again. Correctness does not depend on notices: where none
// comes for a while, the load of the others is estimated from the proxy's own.

// Notices. For "tried" see the package comment.
const (
	prefillSlotShare      = 0.5                   // of a slot's memory: so many tokens in prefill weigh as much as a slot; tried
	minNoticeThreshold    = 1.0                   // prefill weight in slots from which prompts are announced, at least
	maxPlanAge            = 10 * time.Millisecond // of the plan that a choice uses, where other proxies announce their prompts
	maxNoticeRate         = 300.0                 // notices received in a second; if more come, only longer prompts are announced
	noticeThresholdGrowth = 1.1                   // factor of the threshold after a period with too many notices
	noticeThresholdDecay  = 0.98                  // factor of the threshold after any other period
	noticeValidity        = 2 * time.Second       // how long after the last notice the others' prompts are assumed to be known
)

// NoticeKind says what a notice is about.
type NoticeKind uint8

// The kinds of notices.
const (
	NoticePrefill  NoticeKind = iota + 1 // a prompt was sent to the runner
	NoticeRecovery                       // the runner was suspect and responds again
)

// Notice is what a proxy announces to the others about a runner.
type Notice struct {
	Kind      NoticeKind
	RunnerKey uint64 // hash of its id
	Tokens    int    // length of the prompt, for NoticePrefill
}

// prefillBacklog is what a runner has yet to prefill of all prompts that are known. It grows by each prompt and shrinks at
// the prefill speed.
type prefillBacklog struct {
	slots     float64 // at updatedAt
	updatedAt time.Duration
}

// remaining is what has not been prefilled by now, in slots; rate is in slots a second.
func (b *prefillBacklog) remaining(now time.Duration, rate float64) float64 {
	return math.Max(0, b.slots-rate*(now-b.updatedAt).Seconds())
}

// add adds a prompt.
func (b *prefillBacklog) add(now time.Duration, rate, slots float64) {
	b.slots = b.remaining(now, rate) + slots
	b.updatedAt = now
}

// HandleNotice applies the notice of another proxy.
func (p *Placer) HandleNotice(now time.Duration, notice Notice) {
	p.recordCall(now)
	if notice.Kind == NoticePrefill {
		p.receivesNotices = true
		p.lastNoticeAt = now
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

// addPeerPrefill adds a prompt of another proxy to a runner's backlog.
func (p *Placer) addPeerPrefill(now time.Duration, runner *runnerState, tokens int) {
	if !runner.service.isEngine() {
		return
	}
	slots := float64(tokens) / runner.service.slotTokens()
	runner.backlog.add(now, runner.service.prefillRate(), slots)
	runner.load += slots
	runner.spareSlots -= slots
}

// PrefillNotice returns what to announce about an attempt that was started; false: its prompt is too short.
func (a *Attempt) PrefillNotice() (Notice, bool) {
	if !a.announced {
		return Notice{}, false
	}
	return Notice{Kind: NoticePrefill, RunnerKey: a.runner.key, Tokens: int(a.prefillTokens)}, true
}

// adjustNoticeThreshold raises the length from which prompts are announced while too many notices come, and lowers it
// again otherwise. All proxies receive the same notices, so each would spend more processor time the more proxies there are.
func (p *Placer) adjustNoticeThreshold(elapsed float64) {
	if float64(p.noticeCount) > maxNoticeRate*elapsed {
		p.noticeThreshold *= noticeThresholdGrowth
	} else {
		p.noticeThreshold = math.Max(minNoticeThreshold, p.noticeThreshold*noticeThresholdDecay)
	}
	p.noticeCount = 0
}

// RecoveryNotice returns what to announce about an attempt whose response has begun; false: the runner was not suspect.
func (a *Attempt) RecoveryNotice() (Notice, bool) {
	if !a.endedSuspicion {
		return Notice{}, false
	}
	return Notice{Kind: NoticeRecovery, RunnerKey: a.runner.key}, true
}

// hasRecentNotices reports whether the prompts that other proxies send are known.
func (p *Placer) hasRecentNotices(now time.Duration) bool {
	return p.receivesNotices && now-p.lastNoticeAt < noticeValidity
}
