package loadbalancer

import (
	"fmt"
	"math"
	"slices"
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
	snapshot := Snapshot{
		WorkByClass:   append([]float64(nil), b.meanWork...),
		ZoneLatencies: append([]float64(nil), b.zoneLatencies...),
		Pace:          b.meanPace,
		RunTime:       b.meanRunTime,
		SlotsPerJob:   b.slotsPerJob,
		ReportPeriod:  b.reportPeriod,
		PlannedAt:     b.plannedAt,
		Kinds:         map[int]KindSnapshot{},
		Workers:       map[WorkerID]*WorkerSnapshot{},
	}
	for number, kind := range b.kinds {
		snapshot.Kinds[number] = KindSnapshot{kind.pace, kind.slots}
	}
	for _, worker := range b.workers {
		if worker.State != Departed {
			snapshot.Workers[worker.ID] = worker.snapshot()
		}
	}
	return snapshot
}

// snapshot returns what was learnt of the worker.
func (w *workerState) snapshot() *WorkerSnapshot {
	return &WorkerSnapshot{
		StartedAt:        w.StartedAt,
		Reported:         w.reported,
		InFlight:         w.inFlight,
		Utilization:      w.utilization,
		ReportedAt:       w.reportedAt,
		OtherJobs:        math.Max(0, w.otherJobs) + w.ownJobs,
		Slots:            w.slots,
		LoadLimit:        w.limits.Load,
		UtilizationLimit: w.limits.Utilization,
		Pace:             w.pace,
		RunTime:          w.runTime,
		ErrorRate:        w.ejection.ErrorRate,
		Observed:         w.ejection.Observed,
		EjectedUntil:     w.ejection.EjectedUntil,
		EjectionDuration: w.ejection.LastDuration,
		SentWork:         append([]float64(nil), w.sentWork[:]...),
		SentSpan:         w.sentSpan,
	}
}

// Restore takes over the snapshot of another Balancer of the same settings, all or nothing. The snapshot
// of a worker applies once the list names that worker with the same start.
func (b *Balancer) Restore(now float64, snapshot Snapshot) error {
	if err := b.validateSnapshot(now, &snapshot); err != nil {
		return err
	}
	copy(b.meanWork, snapshot.WorkByClass)
	copy(b.zoneLatencies, snapshot.ZoneLatencies)
	b.meanPace = snapshot.Pace
	b.meanRunTime = snapshot.RunTime
	b.slotsPerJob = snapshot.SlotsPerJob
	b.reportPeriod = snapshot.ReportPeriod
	b.plannedAt = snapshot.PlannedAt
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
	worker.reported = saved.Reported
	worker.reportedAt = saved.ReportedAt
	worker.inFlight = saved.InFlight
	worker.utilization = saved.Utilization
	worker.otherJobs = saved.OtherJobs
	worker.slots = saved.Slots
	worker.limits.Load = saved.LoadLimit
	worker.limits.Utilization = saved.UtilizationLimit
	worker.pace = saved.Pace
	worker.runTime = saved.RunTime
	worker.ejection.ErrorRate = saved.ErrorRate
	worker.ejection.Observed = saved.Observed
	worker.ejection.EjectedUntil = saved.EjectedUntil
	worker.ejection.LastDuration = saved.EjectionDuration
	worker.sentSpan = saved.SentSpan
	copy(worker.sentWork[:], saved.SentWork)
}

// validateSnapshot returns an error for the first invalid value. It names values as their JSON.
func (b *Balancer) validateSnapshot(now float64, snapshot *Snapshot) error {
	invalid := func(what string) error { return fmt.Errorf("loadbalancer: snapshot: bad %s", what) }
	means := []float64{snapshot.Pace, snapshot.SlotsPerJob, snapshot.ReportPeriod}
	switch {
	case len(snapshot.WorkByClass) != len(b.meanWork) || !arePositive(snapshot.WorkByClass):
		return invalid("work")
	case snapshot.PlannedAt > now:
		return invalid("time")
	case len(snapshot.ZoneLatencies) != len(b.zoneLatencies) || !areValid(snapshot.ZoneLatencies):
		return invalid("far")
	case !arePositive(means) || !areValid([]float64{snapshot.RunTime, snapshot.PlannedAt}):
		return invalid("means")
	}
	for number, kind := range snapshot.Kinds {
		if !areValid([]float64{kind.Pace, kind.Slots}) || kind.Pace == 0 {
			return invalid(fmt.Sprint("kind ", number))
		}
	}
	for id, saved := range snapshot.Workers {
		if saved == nil || !saved.isValid() {
			return invalid(fmt.Sprint("worker ", id))
		}
	}
	return nil
}

// isValid reports whether all values are in their ranges.
func (s *WorkerSnapshot) isValid() bool {
	isSentWorkValid := len(s.SentWork) == len(workerState{}.sentWork) && areValid(s.SentWork) && s.SentSpan >= 0
	return isSentWorkValid && s.Pace != 0 && areValid([]float64{
		s.StartedAt,
		s.InFlight,
		s.Utilization,
		s.ReportedAt,
		s.OtherJobs,
		s.Slots,
		s.LoadLimit,
		s.UtilizationLimit,
		s.Pace,
		s.RunTime,
		s.ErrorRate,
		s.EjectedUntil,
		s.EjectionDuration,
	})
}

// areValid reports whether all values are finite and not below 0.
func areValid(values []float64) bool {
	return !slices.ContainsFunc(values, func(value float64) bool { return !isFinite(value) || value < 0 })
}

// arePositive reports whether all values are finite and above 0.
func arePositive(values []float64) bool {
	return !slices.ContainsFunc(values, func(value float64) bool { return !isFinite(value) || value <= 0 })
}
