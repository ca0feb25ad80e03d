package placement

import (
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
)

// notifyPrefill delivers the notice that another proxy sent a prompt to a runner.
func notifyPrefill(p *Placer, now time.Duration, id string, tokens int) {
	p.HandleNotice(now, Notice{Kind: NoticePrefill, RunnerKey: xxhash.Sum64String(id), Tokens: tokens})
}

// westRequest is a request of the placer's region that is served by an engine.
func westRequest(now time.Duration) *Request { return testRequest(now, "llm", testRoute()) }

// A prompt that another proxy announced keeps requests away from its runner for as long as the prefill takes, and no longer.
func TestPeerPrefillIsAvoidedWhileItRuns(t *testing.T) {
	const speed, tokens = 20000.0, 10000
	placer := startedTestPlacer(t, testRunners("llm", 3)) // llm-0 and llm-1 are in the region of the placer
	placer.services["llm"].prefillSpeed = speed
	read := time.Duration(tokens / speed * float64(time.Second))
	chosen := func(now time.Duration) map[string]int {
		counts := map[string]int{}
		for range 40 {
			choice, rejection := placer.Place(now, westRequest(now))
			if rejection != nil {
				t.Fatal(rejection)
			}
			counts[choice.Runner]++
		}
		return counts
	}
	notifyPrefill(placer, testStart, "llm-0", tokens)
	if counts := chosen(testStart); counts["llm-1"] != 40 {
		t.Errorf("while llm-0 reads: %v", counts)
	}
	if counts := chosen(testStart + read*4/5); counts["llm-1"] != 40 {
		t.Errorf("while llm-0 reads on: %v", counts)
	}
	placer.Tick(testStart + read)
	if runner := placer.runners["llm-0"]; runner.backlog.remaining(testStart+read, placer.services["llm"].prefillRate()) != 0 {
		t.Errorf("%+v remains after the prefill", runner.backlog)
	}
	if counts := chosen(testStart + read + time.Millisecond); counts["llm-0"] == 0 {
		t.Errorf("after the prompt has been read: %v", counts)
	}
}

// An own prompt counts once, as the proxy's own, and not as another proxy's as well.
func TestOwnPrefillCountsOnce(t *testing.T) {
	p := startedTestPlacer(t, testRunners("llm", 3))
	p.services["llm"].prefillSpeed = 1000
	notifyPrefill(p, testStart, "llm-1", 1)
	r := westRequest(testStart)
	r.Chunks = nil
	r.InputTokens = 6250
	a := p.StartAttempt(testStart, r, Choice{Runner: "llm-0"})
	load := p.runners["llm-0"].load
	p.refreshPlan(testStart+maxPlanAge, p.services["llm"])
	if now := p.runners["llm-0"].load; now > load+0.1 {
		t.Errorf("a load of %.2f became %.2f by a new plan", load, now)
	}
	if notice, worth := a.PrefillNotice(); !worth || notice.Tokens != 6250 {
		t.Errorf("announced %+v, %v", notice, worth)
	}
}

// Short prompts are not announced, nor requests to runners that are no engines.
func TestShortPromptsAreNotAnnounced(t *testing.T) {
	p := startedTestPlacer(t, append(testRunners("llm", 3), testRunners("api", 3)...))
	for _, service := range []string{"llm", "api"} {
		r := testRequest(testStart, service, testRoute())
		if notice, announced := p.StartAttempt(testStart, r, Choice{Runner: service + "-0"}).PrefillNotice(); announced {
			t.Errorf("%s: announced %+v", service, notice)
		}
	}
	if notice, announced := p.StartAttempt(testStart, westRequest(testStart), Choice{Runner: "gone"}).PrefillNotice(); announced {
		t.Errorf("announced %+v of a departed runner", notice)
	}
}

// Where no notice comes, a runner's load is estimated as by a proxy that never received one.
func TestLoadEstimateWithoutNotices(t *testing.T) {
	deaf, hearing := startedTestPlacer(t, testRunners("llm", 3)), startedTestPlacer(t, testRunners("llm", 3))
	end := testStart + noticeValidity + time.Second
	for _, p := range []*Placer{deaf, hearing} {
		p.services["llm"].prefillSpeed = 20000
		r := westRequest(testStart)
		r.Chunks = nil
		r.InputTokens = 20000
		p.StartAttempt(testStart, r, Choice{Runner: "llm-0"})
	}
	notifyPrefill(hearing, testStart, "llm-1", 100)
	for now := testStart; now <= end; now += planPeriod {
		deaf.Tick(now)
		hearing.Tick(now)
	}
	for id, runner := range hearing.runners {
		if other := deaf.runners[id]; runner.load != other.load || runner.utilization != other.utilization {
			t.Errorf("%s: load %.3f, util %.3f; without notices %.3f, %.3f",
				id, runner.load, runner.utilization, other.load, other.utilization)
		}
	}
}

// With more proxies than a runner in slow start bears requests, most may not probe a suspect runner. They use it again
// once a proxy that may has announced its recovery, after slowStartGuard.
func TestRecoveryNoticeEndsSuspicion(t *testing.T) {
	placer := startedTestPlacer(t, testRunners("llm", 3))
	peers := make([]uint64, 0, 80)
	self := xxhash.Sum64String("self")
	for i := range uint64(80) {
		peers = append(peers, xxhash.Sum64String(string(rune('a'+i))))
	}
	placer.SetPeers(testStart, self, peers)
	runner := placer.runners["llm-0"]
	for ; placer.mayUseSlowStartShare(runner, 14); self++ {
		placer.selfKey = self
	}
	now := testStart
	a := placer.StartAttempt(now, westRequest(now), Choice{Runner: runner.ID})
	placer.EndAttempt(now, a, ConnectFailed, Progress{})
	minute := now + time.Minute
	for ; now < minute; now += planPeriod {
		placer.Tick(now)
	}
	if placer.isEligible(now, westRequest(now), runner) {
		t.Fatal("a runner that did not answer, and may be in slow start, is used by a proxy that has no share of it")
	}
	placer.HandleNotice(now, Notice{Kind: NoticeRecovery, RunnerKey: runner.key})
	if placer.isEligible(now, westRequest(now), runner) {
		t.Error("it is used before the list can show that it is in slow start")
	}
	for end := now + slowStartGuard; now < end; now += planPeriod {
		placer.Tick(now)
	}
	if !placer.isEligible(now, westRequest(now), runner) {
		t.Error("it answers, and is not used")
	}
}

// The proxy that finds a suspect runner answering announces it once.
func TestRecoveryIsAnnouncedOnce(t *testing.T) {
	p := startedTestPlacer(t, testRunners("llm", 3))
	now := testStart
	p.EndAttempt(now, p.StartAttempt(now, westRequest(now), Choice{Runner: "llm-0"}), TimedOut, Progress{})
	for _, want := range []bool{true, false} {
		now += time.Second
		a := p.StartAttempt(now, westRequest(now), Choice{Runner: "llm-0"})
		if _, announced := a.RecoveryNotice(); announced {
			t.Error("a recovery is announced before the first event")
		}
		p.HandleFirstEvent(now, a)
		recovery := Notice{Kind: NoticeRecovery, RunnerKey: a.runner.key}
		if notice, announced := a.RecoveryNotice(); announced != want || announced && notice != recovery {
			t.Errorf("announced %+v, %v; want %v", notice, announced, want)
		}
	}
}

// While more notices come than maxNoticeRate, only longer prompts are announced.
func TestNoticeThresholdFollowsNoticeRate(t *testing.T) {
	placer := startedTestPlacer(t, testRunners("llm", 3))
	runners := func(now time.Duration) bool {
		r := westRequest(now)
		r.Chunks = nil
		r.InputTokens = 4000 // of two slots and a half
		_, announced := placer.StartAttempt(now, r, Choice{Runner: "llm-0"}).PrefillNotice()
		return announced
	}
	hear := func(now time.Duration, seconds int, rate float64) time.Duration {
		for range seconds * int(time.Second/planPeriod) {
			for range int(rate * planPeriod.Seconds()) {
				notifyPrefill(placer, now, "llm-1", 3000)
			}
			now += planPeriod
			placer.Tick(now)
		}
		return now
	}
	now := hear(testStart, 3, maxNoticeRate*0.9)
	if !runners(now) {
		t.Error("with few notices a prompt of two slots is not announced")
	}
	now = hear(now, 3, maxNoticeRate*2)
	if runners(now) {
		t.Error("with twice as many as should come a prompt of two slots is announced")
	}
	now = hear(now, 30, maxNoticeRate*0.9)
	if !runners(now) {
		t.Error("with few notices again a prompt of two slots is not announced")
	}
}

// Notices of unknown runners, and prefill notices of runners that are no engines, change nothing.
func TestNoticeOfUnknownRunnerIsIgnored(t *testing.T) {
	p := startedTestPlacer(t, testRunners("api", 3))
	p.HandleNotice(testStart, Notice{Kind: NoticePrefill, RunnerKey: 7, Tokens: 1000})
	p.HandleNotice(testStart, Notice{Kind: NoticeRecovery, RunnerKey: 7})
	p.HandleNotice(testStart, Notice{Kind: NoticePrefill, RunnerKey: p.runners["api-0"].key, Tokens: 1000})
	if runner := p.runners["api-0"]; runner.backlog.slots != 0 || runner.load != 0 {
		t.Errorf("a service without prompts reads one: %+v", runner)
	}
}
