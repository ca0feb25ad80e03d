package policysim

import (
	"time"

	"cinderroad/internal/system/configuration"
	"cinderroad/internal/system/placement"
	"cinderroad/internal/testkit/engine"
)

// modelName is the model that all engines serve.
const modelName = "m"

// Patience of clients: a stream is given up after a silence of the longest of these.
const (
	leastPatience  = 2 * time.Second
	targetPatience = 4 // multiple of the target
	gapPatience    = 8 // multiple of the longest pause in time
)

// visit is a client's call with all its tries.
type visit struct {
	call     *Call
	proxy    *proxy
	request  *placement.Request
	tries    int // of the client
	began    time.Duration
	refused  bool // its first try, early and with nothing at work on it
	events   int
	heard    time.Duration // the last event, or the begin of the try
	first    time.Duration // from the call's begin to the first event
	gap      time.Duration // the longest pause
	sending  *send         // nil: nothing is at work on it
	finished bool
	outcome  Outcome
}

// send is an attempt at a runner.
type send struct {
	world    *world
	visit    *visit
	request  *placement.Request
	priority int
	host     *host
	attempt  *placement.Attempt
	task     *engine.Task
	at       time.Duration
	heard    time.Duration
	progress placement.Progress
	ended    bool
}

// begin is the begin of a try, at the client.
func (w *world) begin(v *visit) {
	v.tries++
	v.began = w.now
	v.heard = w.now
	v.proxy = w.proxyOf(v.call.Zone)
	w.watch(v, v.tries)
	w.after(w.scenario.Client, func() { w.take(v) })
}

// proxyOf is the next proxy of a zone.
func (w *world) proxyOf(zone string) *proxy {
	for range w.proxies {
		w.turn++
		if p := w.proxies[w.turn%len(w.proxies)]; p.zone == zone {
			return p
		}
	}
	return w.proxies[0]
}

// take is the arrival of a try at the proxy.
func (w *world) take(v *visit) {
	if v.finished {
		return
	}
	c := v.call
	model := ""
	if c.Class.Type == configuration.Streaming {
		model = modelName
	}
	v.request = &placement.Request{Route: w.routes[c.Class.Name], Service: c.Class.Service, Model: model, Chunks: c.Parts,
		InputTokens: c.PromptTokens(), MaxOutputTokens: c.Out, BodyBytes: 2 * c.PromptTokens(), ArrivedAt: w.now, Deadline: w.deadline(v)}
	w.send(v)
}

func (w *world) deadline(v *visit) time.Duration { return v.call.At + v.call.Class.Deadline }

// patience is how long a client bears silence.
func (v *visit) patience() time.Duration {
	class := v.call.Class
	return max(leastPatience, targetPatience*class.Target, gapPatience*class.Gap)
}

// watch ends a try whose client has waited for too long.
func (w *world) watch(v *visit, try int) {
	until := w.deadline(v)
	if v.call.Class.Type == configuration.Streaming {
		until = min(until, v.heard+v.patience())
	}
	w.at(max(until, w.now), func() {
		if v.finished || v.tries != try {
			return
		}
		if v.heard+v.patience() > w.now && w.now < w.deadline(v) {
			w.watch(v, try)
			return
		}
		w.abandon(v)
	})
}

// abandon is a client's leaving.
func (w *world) abandon(v *visit) {
	if s := v.sending; s != nil {
		v.sending = nil
		outcome := placement.Cancelled
		if s.progress.Events == 0 && w.now-s.at >= v.patience() {
			outcome = placement.TimedOut
		}
		s.ended = true
		w.after(w.scenario.Client, func() { s.close(outcome) })
	}
	w.finish(v, Failed)
}

// retry begins another try after a wait, if the client has one left.
func (w *world) retry(v *visit, wait time.Duration) bool {
	left := w.deadline(v) - w.now
	if v.tries > v.call.Class.Retries || left <= 0 {
		return false
	}
	const waitShare = 3 // of the time left, that a client waits at most
	w.after(min(wait, left/waitShare), func() { w.begin(v) })
	return true
}

// turnedAway is the arrival of a refusal at the client.
func (w *world) turnedAway(v *visit, wait time.Duration) {
	if v.finished {
		return
	}
	const early = 4 // a refusal within this part of the target costs less
	if v.tries == 1 && w.now-v.began <= v.call.Class.Target/early {
		v.refused = true
	}
	if !w.retry(v, wait) {
		w.finish(v, Refused)
	}
}

// failed is the arrival of a failure at the client.
func (w *world) failed(v *visit) {
	if v.finished {
		return
	}
	if !w.routes[v.call.Class.Name].IsIdempotent() || !w.retry(v, 0) {
		w.finish(v, Failed)
	}
}

// served is the arrival of the last byte at the client.
func (w *world) served(v *visit) {
	if v.finished {
		return
	}
	outcome := InTime
	class := v.call.Class
	if class.Type != configuration.Streaming {
		v.first = w.now - v.call.At
	}
	if v.first > class.Target || class.Gap > 0 && v.gap > class.Gap {
		outcome = Late
	}
	if outcome == Late && v.refused && v.tries == 2 && v.first-(v.began-v.call.At) <= class.Target {
		outcome = InTimeAfterRefusal
	}
	w.finish(v, outcome)
}

// progressed is the arrival of an event at the client.
func (w *world) progressed(v *visit) {
	if v.finished {
		return
	}
	if v.events == 0 {
		v.first = w.now - v.call.At
	} else {
		v.gap = max(v.gap, w.now-v.heard)
	}
	v.events++
	v.heard = w.now
}

func (w *world) finish(v *visit, o Outcome) {
	v.finished = true
	v.outcome = o
}
