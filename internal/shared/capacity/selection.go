package capacity

// Candidate is how a worker compares with the others that may be selected.
type Candidate struct {
	Rank          int     // lower is better
	Distance      float64 // then nearer is better; any unit, the same for all candidates
	SpareCapacity float64 // then more is better; below 0 if the worker is over its limit
}

// Selection selects the best of the workers added to it, equal ones with the same probability. The zero value
// is empty.
type Selection[W any] struct {
	Best      W         // valid if Found
	Candidate Candidate // of Best
	Found     bool
	ties      uint64 // workers that are equal to Best, Best included
}

// Add offers a worker. Only for a worker equal to the best one it draws a number.
func (s *Selection[W]) Add(worker W, candidate Candidate, random *Random) {
	comparison := 1.0 // above 0: worker is better
	if s.Found {
		comparison = s.Candidate.compare(&candidate)
	}
	if comparison == 0 {
		// As in reservoir sampling: each of the ties is then the best with the same probability.
		if s.ties++; random.Next()%s.ties == 0 {
			s.Best = worker
		}
	} else if comparison > 0 {
		*s = Selection[W]{Best: worker, Candidate: candidate, Found: true, ties: 1}
	}
}

// compare returns a number above 0 if the other candidate is better, and 0 if they are equal.
func (c *Candidate) compare(other *Candidate) float64 {
	if c.Rank != other.Rank {
		return float64(c.Rank - other.Rank)
	}
	if c.Distance != other.Distance {
		return c.Distance - other.Distance
	}
	return other.SpareCapacity - c.SpareCapacity
}
