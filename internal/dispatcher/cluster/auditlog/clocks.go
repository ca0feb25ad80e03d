package auditlog

import (
	"math"
	"slices"
)

// ClockOffset is how far a dispatcher's clock is ahead of the reference's, in seconds.
type ClockOffset struct {
	Dispatcher  string  `json:"by"`
	Lead        float64 `json:"ahead_s"`
	Uncertainty float64 `json:"within_s"` // that may be wrong by so much, either way
	Reason      string  `json:"why,omitempty"`
	Known       bool    `json:"known"` // else the clock is taken as it is
}

// clockSolver sets clocks right against each other. A message is heard after it was sent: what the hearer's clock said less what the
// sender's did is at most the hearer's lead and the time that the message took. The quickest message of each direction
// bounds the lead from either side; where two have not spoken, those between them do.
type clockSolver struct {
	dispatchers []string
	maxLead     map[[2]string]float64 // of the first one's lead before the second one, at most
}

func newClockSolver() *clockSolver { return &clockSolver{maxLead: map[[2]string]float64{}} }

func (c *clockSolver) add(by string) {
	if !slices.Contains(c.dispatchers, by) {
		c.dispatchers = append(c.dispatchers, by)
	}
}

// addMessage notes that a member heard at mine, by its clock, what another one sent at theirs.
func (c *clockSolver) addMessage(by string, mine float64, from string, theirs float64) {
	c.add(by)
	c.add(from)
	// mine - lead(by) >= theirs - lead(from)
	if key, lead := [2]string{by, from}, mine-theirs; by != from {
		if old, known := c.maxLead[key]; !known || lead < old {
			c.maxLead[key] = lead
		}
	}
}

// solve works the leads out, with the first name that most others reach as the reference.
func (c *clockSolver) solve() (offsets map[string]ClockOffset) {
	slices.Sort(c.dispatchers)
	n := len(c.dispatchers)
	dist := make([][]float64, n)
	for i := range dist {
		dist[i] = make([]float64, n)
		for j := range dist[i] {
			dist[i][j] = math.Inf(1)
			if most, known := c.maxLead[[2]string{c.dispatchers[i], c.dispatchers[j]}]; known {
				dist[i][j] = most
			}
		}
		dist[i][i] = 0
	}
	for k := range dist { // shortest ways: a lead is at most the sum of the leads between
		for i := range dist {
			for j := range dist {
				dist[i][j] = min(dist[i][j], dist[i][k]+dist[k][j])
			}
		}
	}
	offsets = map[string]ClockOffset{}
	reference, reached := 0, -1
	for i := range dist {
		both := 0
		for j := range dist {
			if !math.IsInf(dist[i][j]+dist[j][i], 1) {
				both++
			}
		}
		if both > reached {
			reference, reached = i, both
		}
	}
	for i, by := range c.dispatchers {
		o := ClockOffset{Dispatcher: by}
		switch high, low := dist[i][reference], -dist[reference][i]; {
		case i == reference:
			o.Known, o.Reason = true, "the reference"
		case math.IsInf(high, 1) || math.IsInf(low, -1):
			o.Reason = "too few messages to set it right by: taken as it is"
		case high < low || dist[i][i] < 0:
			o.Reason = "its clock, or another one's, was set while it ran: taken as it is"
		default:
			o.Known, o.Lead, o.Uncertainty = true, (high+low)/2, (high-low)/2
		}
		offsets[by] = o
	}
	return offsets
}
