package loadbalancer

import (
	"fmt"
	"math"
)

// Snapshot is what a Balancer has learnt, for the one that takes its place in a new process of the same dispatcher.
type Snapshot struct {
	WorkByClass   []float64                    `json:"work"`
	ZoneLatencies []float64                    `json:"far"`
	Pace          float64                      `json:"pace"`
	RunTime       float64                      `json:"run"`
	SlotsPerJob   float64                      `json:"per_job"`
	ReportPeriod  float64                      `json:"period"`
	PlannedAt     float64                      `json:"plan_at"` // ceilings and paces recover from here on, not from the first day
	Kinds         map[int]KindSnapshot         `json:"kinds"`
	Workers       map[WorkerID]*WorkerSnapshot `json:"workers"`
}

// KindSnapshot is what was learnt of a machine kind.
type KindSnapshot struct {
	Pace  float64 `json:"pace"`
	Slots float64 `json:"size"`
}

// WorkerSnapshot is what was learnt of a worker since its start.
type WorkerSnapshot struct {
	StartedAt        float64   `json:"since"`
	Reported         bool      `json:"heard"`
	InFlight         float64   `json:"in_flight"`
	Utilization      float64   `json:"util"`
	ReportedAt       float64   `json:"report_at"`
	OtherJobs        float64   `json:"others"` // the older Balancer's own jobs among them: they are others' to the newer
	Slots            float64   `json:"slots"`
	LoadLimit        float64   `json:"load_ceil"`
	UtilizationLimit float64   `json:"util_ceil"`
	Pace             float64   `json:"pace"`
	RunTime          float64   `json:"run"`
	ErrorRate        float64   `json:"errors"`
	Observed         bool      `json:"judged"`
	EjectedUntil     float64   `json:"shun_until"`
	EjectionDuration float64   `json:"shun_for"`
	SentWork         []float64 `json:"sent"` // the budget of a cold worker goes on: to it both are one dispatcher
	SentSpan         int64     `json:"span"`
}

// Snapshot tells what was learnt so far.
func (b *Balancer) Snapshot() Snapshot {
	l := Snapshot{WorkByClass: append([]float64(nil), b.work...), ZoneLatencies: append([]float64(nil), b.far...), Pace: b.pace, RunTime: b.run,
		SlotsPerJob: b.perJob, ReportPeriod: b.period, PlannedAt: b.planAt, Kinds: map[int]KindSnapshot{}, Workers: map[WorkerID]*WorkerSnapshot{}}
	for number, k := range b.kinds {
		l.Kinds[number] = KindSnapshot{k.pace, k.size}
	}
	for _, w := range b.workers {
		if w.State != Departed {
			l.Workers[w.ID] = &WorkerSnapshot{StartedAt: w.StartedAt, Reported: w.heard, InFlight: w.inFlight, Utilization: w.util,
				ReportedAt: w.reportAt, OtherJobs: math.Max(0, w.others) + w.jobs, Slots: w.slots, LoadLimit: w.ceilings.Load, UtilizationLimit: w.ceilings.Utilization,
				Pace: w.pace, RunTime: w.run, ErrorRate: w.standing.ErrorRate, Observed: w.standing.Observed, EjectedUntil: w.standing.EjectedUntil, EjectionDuration: w.standing.LastDuration,
				SentWork: append([]float64(nil), w.sent[:]...), SentSpan: w.span}
		}
	}
	return l
}

// Restore takes what another Balancer of the same settings has learnt, all or nothing. What it says of a worker counts
// once the list names that worker, with the same start.
func (b *Balancer) Restore(now float64, l Snapshot) error {
	if err := b.usable(now, &l); err != nil {
		return err
	}
	copy(b.work, l.WorkByClass)
	copy(b.far, l.ZoneLatencies)
	b.pace, b.run, b.perJob, b.period, b.planAt = l.Pace, l.RunTime, l.SlotsPerJob, l.ReportPeriod, l.PlannedAt
	for number, k := range l.Kinds {
		b.kinds[number] = &kind{pace: k.Pace, size: k.Slots}
	}
	b.recalled = l.Workers
	return nil
}

// recall gives a worker that is new to the list what is known of it, if it is still the same process.
func (b *Balancer) recall(w *worker, since float64) {
	l := b.recalled[w.ID]
	delete(b.recalled, w.ID)
	if l == nil || l.StartedAt != since {
		return
	}
	w.heard, w.inFlight, w.util, w.reportAt = l.Reported, l.InFlight, l.Utilization, l.ReportedAt
	w.others, w.slots, w.ceilings.Load, w.ceilings.Utilization = l.OtherJobs, l.Slots, l.LoadLimit, l.UtilizationLimit
	w.pace, w.run, w.standing.ErrorRate, w.standing.Observed = l.Pace, l.RunTime, l.ErrorRate, l.Observed
	w.standing.EjectedUntil, w.standing.LastDuration, w.span = l.EjectedUntil, l.EjectionDuration, l.SentSpan
	copy(w.sent[:], l.SentWork)
}

// usable names the first thing learnt that makes no sense.
func (b *Balancer) usable(now float64, l *Snapshot) error {
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
	case len(l.WorkByClass) != len(b.work) || !fine(l.WorkByClass...):
		return bad("work")
	case l.PlannedAt > now:
		return bad("time")
	case len(l.ZoneLatencies) != len(b.far) || !fine(l.ZoneLatencies...):
		return bad("far")
	case !fine(l.RunTime) || !(l.Pace > 0 && l.SlotsPerJob > 0 && l.ReportPeriod > 0) || !fine(l.Pace, l.SlotsPerJob, l.ReportPeriod, l.PlannedAt):
		return bad("means")
	}
	for _, w := range l.WorkByClass {
		if w == 0 {
			return bad("work")
		}
	}
	for number, k := range l.Kinds {
		if !fine(k.Pace, k.Slots) || k.Pace == 0 {
			return bad(fmt.Sprint("kind ", number))
		}
	}
	for id, w := range l.Workers {
		if w == nil || w.Pace == 0 || len(w.SentWork) != 4 || !fine(w.SentWork...) || w.SentSpan < 0 || !fine(w.StartedAt, w.InFlight, w.Utilization,
			w.ReportedAt, w.OtherJobs, w.Slots, w.LoadLimit, w.UtilizationLimit, w.Pace, w.RunTime, w.ErrorRate, w.EjectedUntil, w.EjectionDuration) {
			return bad(fmt.Sprint("worker ", id))
		}
	}
	return nil
}
