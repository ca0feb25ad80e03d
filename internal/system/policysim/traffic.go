package policysim

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cinderroad/internal/system/configuration"
	"cinderroad/internal/system/placement"
)

// Size is a distribution of sizes: log-normal around a mean, cut off at a largest value.
type Size struct {
	Mean   float64
	Spread float64 // standard deviation of the logarithm
	Max    float64 // 0: none
}

// Draw draws a size of at least 1.
func (s Size) Draw(random *rand.Rand) float64 {
	v := s.Mean * math.Exp(s.Spread*random.NormFloat64()-s.Spread*s.Spread/2)
	if s.Max > 0 {
		v = min(v, s.Max)
	}
	return max(1, v)
}

// SharedPart is a part that requests of a class have in common: there are so many different ones, and a request has one
// of them.
type SharedPart struct {
	Tokens Size
	Things int
}

// Class is a kind of request.
type Class struct {
	Name     string
	Service  string
	Type     configuration.RouteType
	PerS     float64       // requests a second, over all zones
	Target   time.Duration // to the first event, or to the whole answer
	Gap      time.Duration // longest pause between events that is still in time
	Deadline time.Duration
	Worth    float64 // of an answer in time
	Late     float64 // of a later one
	Rank     int
	Tries    int // runners that the proxy may send one request to
	Retries  int // of the client
	Shared   []SharedPart
	Skew     float64 // how much more often the first things of the last shared part are asked for
	Own      Size    // tokens
	Events   Size    // of an answer
	Work     Size    // milliseconds, of a plain request
	Homes    []string
	Resume   bool
}

// Wave is how a zone's traffic swings about its mean.
type Wave struct {
	Swing  float64 // share of the mean
	Period time.Duration
	Phase  float64 // share of the period
	Clump  float64 // requests that come together, on average
}

// clumpWithin is the span in which the requests of a clump come.
const clumpWithin = 50 * time.Millisecond

// Call is one request of a client.
type Call struct {
	At    time.Duration
	Class *Class
	Zone  string
	Parts []placement.Chunk
	Out   int           // tokens
	Work  time.Duration // of a plain request
}

// PromptTokens is the size of the prompt.
func (c *Call) PromptTokens() (n int) {
	for _, part := range c.Parts {
		n += part.Tokens
	}
	return n
}

// Size is what the worth of a generation is measured by.
func (c *Call) Size() float64 {
	const outWeight = 10
	return float64(c.PromptTokens()) + outWeight*float64(c.Out)
}

// traffic draws the calls of a run.
type traffic struct {
	scenario *Scenario
	random   *rand.Rand
	calls    []*Call
}

// Draw draws the calls of a scenario, in order of time.
func Draw(s *Scenario, seed uint64) []*Call {
	t := &traffic{scenario: s, random: rand.New(rand.NewPCG(seed, 1))}
	for i := range s.Classes {
		for j := range s.Zones {
			t.drawZone(&s.Classes[i], &s.Zones[j])
		}
	}
	slices.SortStableFunc(t.calls, func(a, b *Call) int { return cmp.Compare(a.At, b.At) })
	return t.calls
}

// drawZone draws the calls of a class from a zone: clumps at a rate that swings, thinned from the highest rate.
func (t *traffic) drawZone(class *Class, zone *Zone) {
	mean := class.PerS * t.scenario.Load * zone.Share
	clump := max(1, zone.Wave.Clump)
	peak := mean * (1 + zone.Wave.Swing) * t.highestBurst(class) / clump
	for at := 0.0; peak > 0; {
		at += t.random.ExpFloat64() / peak
		if at >= t.scenario.Length.Seconds() {
			return
		}
		now := seconds(at)
		rate := mean * zone.Wave.at(now) * t.burst(class, now) / clump
		if t.random.Float64()*peak >= rate {
			continue
		}
		for range t.clumpSize(clump) {
			t.add(now+time.Duration(t.random.Float64()*float64(clumpWithin)), class, zone.Name)
		}
	}
}

// clumpSize draws from a geometric distribution.
func (t *traffic) clumpSize(mean float64) int {
	n := 1
	for t.random.Float64() > 1/mean {
		n++
	}
	return n
}

func (w Wave) at(now time.Duration) float64 {
	if w.Period <= 0 {
		return 1
	}
	return 1 + w.Swing*math.Sin(2*math.Pi*(now.Seconds()/w.Period.Seconds()+w.Phase))
}

func (t *traffic) burst(class *Class, now time.Duration) float64 {
	factor := 1.0
	for _, b := range t.scenario.Bursts {
		if b.Class == class.Name && now >= b.From && now < b.From+b.For {
			factor *= b.Factor
		}
	}
	return factor
}

func (t *traffic) highestBurst(class *Class) float64 {
	factor := 1.0
	for _, b := range t.scenario.Bursts {
		if b.Class == class.Name {
			factor *= max(1, b.Factor)
		}
	}
	return factor
}

func (t *traffic) add(at time.Duration, class *Class, zone string) {
	call := &Call{At: at, Class: class, Zone: zone}
	t.calls = append(t.calls, call)
	if class.Type != configuration.Streaming {
		call.Work = time.Duration(class.Work.Draw(t.random) * float64(time.Millisecond))
		return
	}
	if n := len(class.Shared); n > 0 {
		subject := skewed(t.random, class.Shared[n-1].Things, class.Skew)
		for level, part := range class.Shared {
			call.Parts = append(call.Parts, sharedPart(class, level, subject%part.Things, part.Tokens))
		}
	}
	call.Parts = append(call.Parts, placement.Chunk{ID: t.random.Uint64(), Tokens: int(class.Own.Draw(t.random))})
	call.Out = int(math.Ceil(class.Events.Draw(t.random))) * t.scenario.stride(class.Service)
}

// sharedPart is a thing of a class: its id and size are the same in every run.
func sharedPart(class *Class, level, thing int, size Size) placement.Chunk {
	id := xxhash.Sum64String(class.Name + string([]byte{byte(level), byte(thing >> 8), byte(thing)}))
	return placement.Chunk{ID: id, Tokens: int(size.Draw(rand.New(rand.NewPCG(id, 3))))}
}

// skewed draws one of n things, the i-th with a weight of (i+1) to the power of -skew.
func skewed(random *rand.Rand, n int, skew float64) int {
	total := 0.0
	for i := range n {
		total += math.Pow(float64(i+1), -skew)
	}
	left := random.Float64() * total
	for i := range n {
		left -= math.Pow(float64(i+1), -skew)
		if left < 0 {
			return i
		}
	}
	return n - 1
}

func seconds(s float64) time.Duration { return time.Duration(math.Round(s * float64(time.Second))) }
