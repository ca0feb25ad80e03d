package capacity

import "math"

// The constants of being set aside.
const (
	LearningRate      = 0.2  // weight of a new sample in a running mean: about the last ten count
	EjectionErrorRate = 0.35 // mean error share above which a worker is set aside: two errors after a clean run
	PeerFactor        = 2.0  // and it must be this much worse than its peers: what hits all blames none
)

// Ejection is how a worker's attempts have ended lately.
type Ejection struct {
	ErrorRate    float64 // running share of attempts that failed
	Observed     bool    // an attempt has ended there
	EjectedUntil float64 // it is set aside until then
	LastDuration float64 // the last span for which it was set aside; 0: it has been clean since
}

// RecordOutcome counts a failure, 1, or a success, 0. It says whether the worker should be set aside: one that
// fails fast looks empty and would draw all jobs. Peers is the mean share of errors of its peers: what
// hits all blames none.
func (e *Ejection) RecordOutcome(failure, peerErrorRate float64) bool {
	UpdateMean(&e.ErrorRate, failure, LearningRate)
	e.Observed = true
	if e.ErrorRate < EjectionErrorRate/2 {
		e.LastDuration = 0
	}
	return failure > 0 && e.ErrorRate > EjectionErrorRate && e.ErrorRate > PeerFactor*peerErrorRate
}

// Eject sets the worker aside from now on, longer each time, and says whether it was not yet.
func (e *Ejection) Eject(now, minDuration, maxDuration float64) bool {
	if now < e.EjectedUntil {
		return false
	}
	e.LastDuration = math.Min(math.Max(2*e.LastDuration, minDuration), maxDuration)
	e.EjectedUntil = now + e.LastDuration
	return true
}

// IsEjected says whether the worker is set aside.
func (e *Ejection) IsEjected(now float64) bool { return now < e.EjectedUntil }

// UpdateMean moves a running mean.
func UpdateMean(mean *float64, sample, rate float64) { *mean += rate * (sample - *mean) }
