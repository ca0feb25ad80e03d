package loadbalancer

import (
	"fmt"
	"math"
)

// Learnt is what a Balancer has learnt, for the one that takes its place in a new process of the same dispatcher.
type Learnt struct {
	Work    []float64                  `json:"work"`
	Far     []float64                  `json:"far"`
	Pace    float64                    `json:"pace"`
	Run     float64                    `json:"run"`
	PerJob  float64                    `json:"per_job"`
	Period  float64                    `json:"period"`
	PlanAt  float64                    `json:"plan_at"` // ceilings and paces recover from here on, not from the first day
	Kinds   map[int]LearntKind         `json:"kinds"`
	Workers map[WorkerID]*LearntWorker `json:"workers"`
}

// LearntKind is what was learnt of a machine kind.
type LearntKind struct {
	Pace float64 `json:"pace"`
	Size float64 `json:"size"`
}

// LearntWorker is what was learnt of a worker since its start.
type LearntWorker struct {
	Since     float64   `json:"since"`
	Heard     bool      `json:"heard"`
	InFlight  float64   `json:"in_flight"`
	Util      float64   `json:"util"`
	ReportAt  float64   `json:"report_at"`
	Others    float64   `json:"others"` // the older Balancer's own jobs among them: they are others' to the newer
	Slots     float64   `json:"slots"`
	LoadCeil  float64   `json:"load_ceil"`
	UtilCeil  float64   `json:"util_ceil"`
	Pace      float64   `json:"pace"`
	Run       float64   `json:"run"`
	Errors    float64   `json:"errors"`
	Judged    bool      `json:"judged"`
	ShunUntil float64   `json:"shun_until"`
	ShunFor   float64   `json:"shun_for"`
	Sent      []float64 `json:"sent"` // the budget of a cold worker goes on: to it both are one dispatcher
	Span      int64     `json:"span"`
}

// Learnt tells what was learnt so far.
func (b *Balancer) Learnt() Learnt {
	l := Learnt{Work: append([]float64(nil), b.work...), Far: append([]float64(nil), b.far...), Pace: b.pace, Run: b.run,
		PerJob: b.perJob, Period: b.period, PlanAt: b.planAt, Kinds: map[int]LearntKind{}, Workers: map[WorkerID]*LearntWorker{}}
	for number, k := range b.kinds {
		l.Kinds[number] = LearntKind{k.pace, k.size}
	}
	for _, w := range b.workers {
		if w.State != Gone {
			l.Workers[w.ID] = &LearntWorker{Since: w.Since, Heard: w.heard, InFlight: w.inFlight, Util: w.util,
				ReportAt: w.reportAt, Others: math.Max(0, w.others) + w.jobs, Slots: w.slots, LoadCeil: w.ceilings.Load, UtilCeil: w.ceilings.Util,
				Pace: w.pace, Run: w.run, Errors: w.standing.Errors, Judged: w.standing.Judged, ShunUntil: w.standing.ShunUntil, ShunFor: w.standing.ShunFor,
				Sent: append([]float64(nil), w.sent[:]...), Span: w.span}
		}
	}
	return l
}

// Recall takes what another Balancer of the same settings has learnt, all or nothing. What it says of a worker counts
// once the list names that worker, with the same start.
func (b *Balancer) Recall(now float64, l Learnt) error {
	if err := b.usable(now, &l); err != nil {
		return err
	}
	copy(b.work, l.Work)
	copy(b.far, l.Far)
	b.pace, b.run, b.perJob, b.period, b.planAt = l.Pace, l.Run, l.PerJob, l.Period, l.PlanAt
	for number, k := range l.Kinds {
		b.kinds[number] = &kind{pace: k.Pace, size: k.Size}
	}
	b.recalled = l.Workers
	return nil
}

// recall gives a worker that is new to the list what is known of it, if it is still the same process.
func (b *Balancer) recall(w *worker, since float64) {
	l := b.recalled[w.ID]
	delete(b.recalled, w.ID)
	if l == nil || l.Since != since {
		return
	}
	w.heard, w.inFlight, w.util, w.reportAt = l.Heard, l.InFlight, l.Util, l.ReportAt
	w.others, w.slots, w.ceilings.Load, w.ceilings.Util = l.Others, l.Slots, l.LoadCeil, l.UtilCeil
	w.pace, w.run, w.standing.Errors, w.standing.Judged = l.Pace, l.Run, l.Errors, l.Judged
	w.standing.ShunUntil, w.standing.ShunFor, w.span = l.ShunUntil, l.ShunFor, l.Span
	copy(w.sent[:], l.Sent)
}

// usable names the first thing learnt that makes no sense.
func (b *Balancer) usable(now float64, l *Learnt) error {
	bad := func(what string) error { return fmt.Errorf("brain: learnt: bad %s", what) }
	fine := func(values ...float64) bool {
		for _, v := range values {
			if !finite(v) || v < 0 {
				return false
			}
		}
		return true
	}
	switch {
	case len(l.Work) != len(b.work) || !fine(l.Work...):
		return bad("work")
	case l.PlanAt > now:
		return bad("time")
	case len(l.Far) != len(b.far) || !fine(l.Far...):
		return bad("far")
	case !fine(l.Run) || !(l.Pace > 0 && l.PerJob > 0 && l.Period > 0) || !fine(l.Pace, l.PerJob, l.Period, l.PlanAt):
		return bad("means")
	}
	for _, w := range l.Work {
		if w == 0 {
			return bad("work")
		}
	}
	for number, k := range l.Kinds {
		if !fine(k.Pace, k.Size) || k.Pace == 0 {
			return bad(fmt.Sprint("kind ", number))
		}
	}
	for id, w := range l.Workers {
		if w == nil || w.Pace == 0 || len(w.Sent) != 4 || !fine(w.Sent...) || w.Span < 0 || !fine(w.Since, w.InFlight, w.Util,
			w.ReportAt, w.Others, w.Slots, w.LoadCeil, w.UtilCeil, w.Pace, w.Run, w.Errors, w.ShunUntil, w.ShunFor) {
			return bad(fmt.Sprint("worker ", id))
		}
	}
	return nil
}
