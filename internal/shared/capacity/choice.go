package capacity

// Candidate is a worker that may be chosen.
type Candidate struct {
	Rank          int     // lower is better
	Distance      float64 // then nearer is better
	SpareCapacity float64 // then more is better: with no room anywhere this is the worker least over its ceiling
}

// Selection picks the best of the workers offered to it; equal ones share evenly at random.
type Selection[W any] struct {
	Best      W
	Candidate Candidate
	Found     bool
	ties      uint64
}

// Add offers a worker. A number is drawn only where two are equal.
func (s *Selection[W]) Add(worker W, candidate Candidate, random *Random) {
	order := 1.0 // above 0: w is better
	if s.Found {
		order = s.Candidate.compare(&candidate)
	}
	if order == 0 {
		if s.ties++; random.Next()%s.ties == 0 {
			s.Best = worker
		}
	} else if order > 0 {
		s.Best, s.Candidate, s.Found, s.ties = worker, candidate, true, 1
	}
}

// compare is above 0 where the other offer is better, and 0 where they are equal.
func (c *Candidate) compare(other *Candidate) float64 {
	if c.Rank != other.Rank {
		return float64(c.Rank - other.Rank)
	}
	if c.Distance != other.Distance {
		return c.Distance - other.Distance
	}
	return other.SpareCapacity - c.SpareCapacity
}
