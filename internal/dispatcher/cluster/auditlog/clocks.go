package auditlog

import (
	"math"
	"slices"
)

// Offset is how far a dispatcher's clock is ahead of the reference's, in seconds.
type Offset struct {
	By     string  `json:"by"`
	Ahead  float64 `json:"ahead_s"`
	Within float64 `json:"within_s"` // that may be wrong by so much, either way
	Why    string  `json:"why,omitempty"`
	Known  bool    `json:"known"` // else the clock is taken as it is
}

// clocks sets clocks right against each other. A message is heard after it was sent: what the hearer's clock said less what the
// sender's did is at most the hearer's lead and the time that the message took. The quickest message of each direction
// bounds the lead from either side; where two have not spoken, those between them do.
type clocks struct {
	names []string
	most  map[[2]string]float64 // of the first one's lead before the second one, at most
}

func newClocks() *clocks { return &clocks{most: map[[2]string]float64{}} }

func (c *clocks) name(by string) {
	if !slices.Contains(c.names, by) {
		c.names = append(c.names, by)
	}
}

// heard notes that a member heard at mine, by its clock, what another one sent at theirs.
func (c *clocks) heard(by string, mine float64, from string, theirs float64) {
	c.name(by)
	c.name(from)
	// mine - lead(by) >= theirs - lead(from)
	if key, lead := [2]string{by, from}, mine-theirs; by != from {
		if old, known := c.most[key]; !known || lead < old {
			c.most[key] = lead
		}
	}
}

// solve works the leads out, with the first name that most others reach as the reference.
func (c *clocks) solve() (offsets map[string]Offset) {
	slices.Sort(c.names)
	n := len(c.names)
	dist := make([][]float64, n)
	for i := range dist {
		dist[i] = make([]float64, n)
		for j := range dist[i] {
			dist[i][j] = math.Inf(1)
			if most, known := c.most[[2]string{c.names[i], c.names[j]}]; known {
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
	offsets = map[string]Offset{}
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
	for i, by := range c.names {
		o := Offset{By: by}
		switch high, low := dist[i][reference], -dist[reference][i]; {
		case i == reference:
			o.Known, o.Why = true, "the reference"
		case math.IsInf(high, 1) || math.IsInf(low, -1):
			o.Why = "too few messages to set it right by: taken as it is"
		case high < low || dist[i][i] < 0:
			o.Why = "its clock, or another one's, was set while it ran: taken as it is"
		default:
			o.Known, o.Ahead, o.Within = true, (high+low)/2, (high-low)/2
		}
		offsets[by] = o
	}
	return offsets
}
