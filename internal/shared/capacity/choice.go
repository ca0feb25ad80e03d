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
func (c *Selection[W]) Add(w W, o Candidate, random *Random) {
	order := 1.0 // above 0: w is better
	if c.Found {
		order = c.Candidate.against(&o)
	}
	if order == 0 {
		if c.ties++; random.Next()%c.ties == 0 {
			c.Best = w
		}
	} else if order > 0 {
		c.Best, c.Candidate, c.Found, c.ties = w, o, true, 1
	}
}

// against is above 0 where the other offer is better, and 0 where they are equal.
func (o *Candidate) against(other *Candidate) float64 {
	if o.Rank != other.Rank {
		return float64(o.Rank - other.Rank)
	}
	if o.Distance != other.Distance {
		return o.Distance - other.Distance
	}
	return other.SpareCapacity - o.SpareCapacity
}
