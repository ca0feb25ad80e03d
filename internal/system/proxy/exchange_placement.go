package proxy

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"cinderroad/internal/system/placement"
)

// place chooses a runner and sends the request to it, or gives up.
func (x *exchange) place() {
	choice, rejection := x.chooseRunner()
	if rejection != nil {
		x.giveUp(rejection.RetryAfter)
		return
	}
	x.startAttempt(choice)
}

// logRejection logs why the placer chose no runner.
func (x *exchange) logRejection(rejection *placement.Rejection) {
	if entry := x.proxy.log.Check(zap.DebugLevel, "request rejected"); entry != nil {
		entry.Write(
			zap.String("try", x.tryID),
			zap.String("route", x.request.Route.Name),
			zap.String("reason", rejection.Reason),
			zap.Duration("retry_after", rejection.RetryAfter),
			zap.Strings("tried_runners", x.request.TriedRunners),
		)
	}
}

// chooseRunner asks the placer for a runner until one has a spare connection, at most maxPlacementTries times. Meanwhile a
// runner without one is passed over, so that the placer ranks it last.
func (x *exchange) chooseRunner() (placement.Choice, *placement.Rejection) {
	before := x.request
	defer func() { x.request = before }()
	x.request.TriedRunners = slices.Clip(before.TriedRunners)
	for range maxPlacementTries {
		choice, rejection := x.proxy.placer.Place(x.proxy.now(), &x.request)
		if rejection != nil {
			x.logRejection(rejection)
			return choice, rejection
		}
		if x.proxy.pool.canAccept(choice) {
			return choice, nil
		}
		x.request.PassOver(choice.Runner)
	}
	return placement.Choice{}, &placement.Rejection{RetryAfter: shortRetryAfter, Reason: "no connection to spare"}
}

// startAttempt sends the request to the chosen runner.
func (x *exchange) startAttempt(choice placement.Choice) {
	if x.state != exchangeRelaying {
		x.transition(exchangeConnecting)
	}
	x.proxy.Counters.Attempts++
	a := &attempt{exchange: x, choice: choice}
	a.tracked = x.proxy.placer.StartAttempt(x.proxy.now(), &x.request, choice)
	x.attempt = a
	x.proxy.peers.notifyPrefill(a.tracked)
	x.proxy.pool.send(a)
}

// mayRetry reports whether the request may be sent to another runner. The placer checks the retry budget; the rest is checked
// here, whichever placer is used.
func (x *exchange) mayRetry() bool {
	if x.response.started && !x.canContinue() {
		return false
	}
	now := x.proxy.now()
	return x.request.MayRepeat(now) && x.proxy.placer.MayRetry(now, &x.request)
}

// canContinue reports whether another runner may continue a response that has begun.
func (x *exchange) canContinue() bool {
	return x.response.resumable && x.eventReader.canResume()
}

// retry sends the request to another runner if that is allowed and a runner has capacity. Otherwise pause is when the
// client may retry; 0: unknown.
func (x *exchange) retry() (sent bool, pause time.Duration) {
	if !x.mayRetry() {
		return false, 0
	}
	choice, rejection := x.chooseRunner()
	if rejection != nil {
		return false, rejection.RetryAfter
	}
	if x.response.started {
		x.eventReader.resume()
		x.proxy.Counters.Resumed++
	}
	x.startAttempt(choice)
	return true, 0
}

// retryOrGiveUp sends the request to another runner after an attempt without a usable response, or gives up.
func (x *exchange) retryOrGiveUp(pause time.Duration) {
	if sent, retryAfter := x.retry(); !sent {
		x.giveUp(max(pause, retryAfter))
	}
}

// Arguments of recordAttempt and attempt.handleLost: whether the runner may have executed the request.
const (
	notRun      = false
	possiblyRun = true
)

// recordAttempt records an attempt in the request: its runner, which the placer chooses again only if no other one may take the
// request, whether the runner was reached, and whether it may have executed the request.
func (x *exchange) recordAttempt(attempt *attempt, mayHaveRun bool) {
	x.request.RecordAttempt(attempt.choice.Runner, attempt.connected)
	x.request.MayHaveRun = x.request.MayHaveRun || mayHaveRun
}
