package auditlog

import (
	"math"
	"slices"
)

// ClockOffset is how far a dispatcher's clock is ahead of the reference's, in seconds.
type ClockOffset struct {
	Dispatcher  string  `json:"by"`
	Lead        float64 `json:"ahead_s"`
	Uncertainty float64 `json:"within_s"` // bound of the error of Lead, either way
	Reason      string  `json:"why,omitempty"`
	Known       bool    `json:"known"` // false: the clock is taken as it is
}

// clockSolver corrects clocks against each other. A message is received after it was sent, so the receiver's clock less
// the sender's is at most the receiver's lead plus the time that the message took. The quickest message of each
// direction bounds the lead from either side; bounds of dispatchers without messages between them follow from those in
// between.
type clockSolver struct {
	dispatchers []string
	maxLead     map[clockPair]float64 // upper bound of the first one's lead over the second
}

// clockPair is an ordered pair of dispatchers.
type clockPair struct{ first, second string }

func newClockSolver() *clockSolver { return &clockSolver{maxLead: map[clockPair]float64{}} }

// add adds a dispatcher, once.
func (c *clockSolver) add(dispatcher string) {
	if !slices.Contains(c.dispatchers, dispatcher) {
		c.dispatchers = append(c.dispatchers, dispatcher)
	}
}

// addMessage records that receiver received, at a time of its clock, what sender had sent at a time of its own.
func (c *clockSolver) addMessage(receiver string, received float64, sender string, sent float64) {
	c.add(receiver)
	c.add(sender)
	if receiver == sender {
		return
	}
	// received - lead(receiver) >= sent - lead(sender)
	pair := clockPair{receiver, sender}
	lead := received - sent
	if known, isKnown := c.maxLead[pair]; !isKnown || lead < known {
		c.maxLead[pair] = lead
	}
}

// solve computes the offsets. The reference is the first dispatcher by name that is connected to most others.
func (c *clockSolver) solve() map[string]ClockOffset {
	slices.Sort(c.dispatchers)
	maxLead := c.maxLeads()
	reference := bestConnected(maxLead)
	offsets := map[string]ClockOffset{}
	for i, dispatcher := range c.dispatchers {
		offset := ClockOffset{Dispatcher: dispatcher}
		switch high, low := maxLead[i][reference], -maxLead[reference][i]; {
		case i == reference:
			offset.Known = true
			offset.Reason = "the reference"
		case math.IsInf(high, 1) || math.IsInf(low, -1):
			offset.Reason = "too few messages to set it right by: taken as it is"
		case high < low || maxLead[i][i] < 0:
			offset.Reason = "its clock, or another one's, was set while it ran: taken as it is"
		default:
			offset.Known = true
			offset.Lead = (high + low) / 2
			offset.Uncertainty = (high - low) / 2
		}
		offsets[dispatcher] = offset
	}
	return offsets
}

// maxLeads returns the upper bound of each dispatcher's lead over each other one, by their indices; +Inf: not known. They
// are the lengths of the shortest paths, since a lead is at most the sum of the leads in between.
func (c *clockSolver) maxLeads() [][]float64 {
	maxLead := make([][]float64, len(c.dispatchers))
	for i := range maxLead {
		maxLead[i] = make([]float64, len(c.dispatchers))
		for j := range maxLead[i] {
			maxLead[i][j] = math.Inf(1)
			pair := clockPair{c.dispatchers[i], c.dispatchers[j]}
			if lead, known := c.maxLead[pair]; known {
				maxLead[i][j] = lead
			}
		}
		maxLead[i][i] = 0
	}
	for k := range maxLead {
		for i := range maxLead {
			for j := range maxLead {
				maxLead[i][j] = min(maxLead[i][j], maxLead[i][k]+maxLead[k][j])
			}
		}
	}
	return maxLead
}

// bestConnected returns the index of the first dispatcher with bounds of its lead in both directions to most others.
func bestConnected(maxLead [][]float64) int {
	best := 0
	mostConnections := -1
	for i := range maxLead {
		connections := 0
		for j := range maxLead {
			if !math.IsInf(maxLead[i][j]+maxLead[j][i], 1) {
				connections++
			}
		}
		if connections > mostConnections {
			best = i
			mostConnections = connections
		}
	}
	return best
}
