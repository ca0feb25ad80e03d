package capacity

import "math"

// The constants of being set aside.
const (
	LearnRate  = 0.2  // weight of a new sample in a running mean: about the last ten count
	ShunErrors = 0.35 // mean error share above which a worker is set aside: two errors after a clean run
	PeerFactor = 2.0  // and it must be this much worse than its peers: what hits all blames none
)

// Standing is how a worker's attempts have ended lately.
type Standing struct {
	Errors    float64 // running share of attempts that failed
	Judged    bool    // an attempt has ended there
	ShunUntil float64 // it is set aside until then
	ShunFor   float64 // the last span for which it was set aside; 0: it has been clean since
}

// Blame counts a failure, 1, or a success, 0. It says whether the worker should be set aside: one that
// fails fast looks empty and would draw all jobs. Peers is the mean share of errors of its peers: what
// hits all blames none.
func (s *Standing) Blame(bad, peers float64) bool {
	Mean(&s.Errors, bad, LearnRate)
	s.Judged = true
	if s.Errors < ShunErrors/2 {
		s.ShunFor = 0
	}
	return bad > 0 && s.Errors > ShunErrors && s.Errors > PeerFactor*peers
}

// SetAside sets the worker aside from now on, longer each time, and says whether it was not yet.
func (s *Standing) SetAside(now, least, most float64) bool {
	if now < s.ShunUntil {
		return false
	}
	s.ShunFor = math.Min(math.Max(2*s.ShunFor, least), most)
	s.ShunUntil = now + s.ShunFor
	return true
}

// Shunned says whether the worker is set aside.
func (s *Standing) Shunned(now float64) bool { return now < s.ShunUntil }

// Mean moves a running mean.
func Mean(m *float64, sample, rate float64) { *m += rate * (sample - *m) }
