package loadbalancer

import (
	"fmt"
	"math"
)

// Snapshot is what a Balancer has learnt, for its successor in a new process of the same dispatcher. The
// JSON names are read by processes of other versions.
type Snapshot struct {
	WorkByClass   []float64                    `json:"work"`
	ZoneLatencies []float64                    `json:"far"`
	Pace          float64                      `json:"pace"`
	RunTime       float64                      `json:"run"`
	SlotsPerJob   float64                      `json:"per_job"`
	ReportPeriod  float64                      `json:"period"`
	PlannedAt     float64                      `json:"plan_at"` // limits and paces recover from here on, not from the first day
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
	OtherJobs        float64   `json:"others"` // with the older Balancer's own jobs, which the newer one does not own
	Slots            float64   `json:"slots"`
	LoadLimit        float64   `json:"load_ceil"`
	UtilizationLimit float64   `json:"util_ceil"`
	Pace             float64   `json:"pace"`
	RunTime          float64   `json:"run"`
	ErrorRate        float64   `json:"errors"`
	Observed         bool      `json:"judged"`
	EjectedUntil     float64   `json:"shun_until"`
	EjectionDuration float64   `json:"shun_for"`
	SentWork         []float64 `json:"sent"` // the slow start budget continues: to the worker both are one dispatcher
	SentSpan         int64     `json:"span"`
}

// Snapshot returns what was learnt so far.
func (b *Balancer) Snapshot() Snapshot {
	snapshot := Snapshot{WorkByClass: append([]float64(nil), b.meanWork...), ZoneLatencies: append([]float64(nil), b.zoneLatencies...), Pace: b.meanPace, RunTime: b.meanRunTime,
		SlotsPerJob: b.slotsPerJob, ReportPeriod: b.reportPeriod, PlannedAt: b.plannedAt, Kinds: map[int]KindSnapshot{}, Workers: map[WorkerID]*WorkerSnapshot{}}
	for number, kind := range b.kinds {
		snapshot.Kinds[number] = KindSnapshot{kind.pace, kind.slots}
	}
	for _, worker := range b.workers {
		if worker.State != Departed {
			snapshot.Workers[worker.ID] = &WorkerSnapshot{StartedAt: worker.StartedAt, Reported: worker.reported, InFlight: worker.inFlight, Utilization: worker.utilization,
				ReportedAt: worker.reportedAt, OtherJobs: math.Max(0, worker.otherJobs) + worker.ownJobs, Slots: worker.slots, LoadLimit: worker.limits.Load, UtilizationLimit: worker.limits.Utilization,
				Pace: worker.pace, RunTime: worker.runTime, ErrorRate: worker.ejection.ErrorRate, Observed: worker.ejection.Observed, EjectedUntil: worker.ejection.EjectedUntil, EjectionDuration: worker.ejection.LastDuration,
				SentWork: append([]float64(nil), worker.sentWork[:]...), SentSpan: worker.sentSpan}
		}
	}
	return snapshot
}

// Restore takes over the snapshot of another Balancer of the same settings, all or nothing. What it says
// of a worker applies once the list names that worker with the same start.
func (b *Balancer) Restore(now float64, snapshot Snapshot) error {
	if err := b.validateSnapshot(now, &snapshot); err != nil {
		return err
	}
	copy(b.meanWork, snapshot.WorkByClass)
	copy(b.zoneLatencies, snapshot.ZoneLatencies)
	b.meanPace, b.meanRunTime, b.slotsPerJob, b.reportPeriod, b.plannedAt = snapshot.Pace, snapshot.RunTime, snapshot.SlotsPerJob, snapshot.ReportPeriod, snapshot.PlannedAt
	for number, kind := range snapshot.Kinds {
		b.kinds[number] = &machineKind{pace: kind.Pace, slots: kind.Slots}
	}
	b.restored = snapshot.Workers
	return nil
}

// restoreWorker applies a snapshot to a worker that is new to the list, if it is still the same process.
func (b *Balancer) restoreWorker(worker *workerState, startedAt float64) {
	saved := b.restored[worker.ID]
	delete(b.restored, worker.ID)
	if saved == nil || saved.StartedAt != startedAt {
		return
	}
	worker.reported, worker.inFlight, worker.utilization, worker.reportedAt = saved.Reported, saved.InFlight, saved.Utilization, saved.ReportedAt
	worker.otherJobs, worker.slots, worker.limits.Load, worker.limits.Utilization = saved.OtherJobs, saved.Slots, saved.LoadLimit, saved.UtilizationLimit
	worker.pace, worker.runTime, worker.ejection.ErrorRate, worker.ejection.Observed = saved.Pace, saved.RunTime, saved.ErrorRate, saved.Observed
	worker.ejection.EjectedUntil, worker.ejection.LastDuration, worker.sentSpan = saved.EjectedUntil, saved.EjectionDuration, saved.SentSpan
	copy(worker.sentWork[:], saved.SentWork)
}

// validateSnapshot returns an error for the first value that makes no sense.
func (b *Balancer) validateSnapshot(now float64, snapshot *Snapshot) error {
	invalid := func(what string) error { return fmt.Errorf("brain: learnt: bad %s", what) }
	valid := func(values ...float64) bool {
		for _, v := range values {
			if !isFinite(v) || v < 0 {
				return false
			}
		}
		return true
	}
	switch {
	case len(snapshot.WorkByClass) != len(b.meanWork) || !valid(snapshot.WorkByClass...):
		return invalid("work")
	case snapshot.PlannedAt > now:
		return invalid("time")
	case len(snapshot.ZoneLatencies) != len(b.zoneLatencies) || !valid(snapshot.ZoneLatencies...):
		return invalid("far")
	case !valid(snapshot.RunTime) || !(snapshot.Pace > 0 && snapshot.SlotsPerJob > 0 && snapshot.ReportPeriod > 0) || !valid(snapshot.Pace, snapshot.SlotsPerJob, snapshot.ReportPeriod, snapshot.PlannedAt):
		return invalid("means")
	}
	for _, saved := range snapshot.WorkByClass {
		if saved == 0 {
			return invalid("work")
		}
	}
	for number, kind := range snapshot.Kinds {
		if !valid(kind.Pace, kind.Slots) || kind.Pace == 0 {
			return invalid(fmt.Sprint("kind ", number))
		}
	}
	for id, saved := range snapshot.Workers {
		if saved == nil || saved.Pace == 0 || len(saved.SentWork) != 4 || !valid(saved.SentWork...) || saved.SentSpan < 0 || !valid(saved.StartedAt, saved.InFlight, saved.Utilization,
			saved.ReportedAt, saved.OtherJobs, saved.Slots, saved.LoadLimit, saved.UtilizationLimit, saved.Pace, saved.RunTime, saved.ErrorRate, saved.EjectedUntil, saved.EjectionDuration) {
			return invalid(fmt.Sprint("worker ", id))
		}
	}
	return nil
}
