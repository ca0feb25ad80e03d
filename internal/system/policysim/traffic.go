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

// SizeDistribution is a distribution of sizes: log-normal around a mean, cut off at a largest value.
type SizeDistribution struct {
	Mean   float64
	Spread float64 // standard deviation of the logarithm
	Max    float64 // 0: none
}

// Sample draws a size of at least 1.
func (s SizeDistribution) Sample(random *rand.Rand) float64 {
	size := s.Mean * math.Exp(s.Spread*random.NormFloat64()-s.Spread*s.Spread/2)
	if s.Max > 0 {
		size = min(size, s.Max)
	}
	return max(1, size)
}

// SharedChunk is a part that requests of a class have in common: there are so many different ones, and a request has one
// of them.
type SharedChunk struct {
	Tokens   SizeDistribution
	Variants int
}

// Class is a kind of request.
type Class struct {
	Name              string
	Service           string
	Type              configuration.RouteType
	RequestsPerSecond float64       // requests a second, over all zones
	LatencyTarget     time.Duration // to the first event, or to the whole answer
	EventGapTarget    time.Duration // longest pause between events that is still in time
	Deadline          time.Duration
	ValueInTime       float64 // of an answer in time
	ValueLate         float64 // of a later one
	Rank              int
	MaxAttempts       int // runners that the proxy may send one request to
	ClientRetries     int // of the client
	SharedChunks      []SharedChunk
	Skew              float64          // how much more often the first things of the last shared part are asked for
	OwnTokens         SizeDistribution // tokens
	Events            SizeDistribution // of an answer
	WorkMS            SizeDistribution // milliseconds, of a plain request
	HomeRegions       []string
	Resumable         bool
}

// RateVariation is how a zone's traffic swings about its mean.
type RateVariation struct {
	Amplitude     float64 // share of the mean
	Period        time.Duration
	Phase         float64 // share of the period
	MeanBatchSize float64 // requests that come together, on average
}

// batchSpan is the span in which the requests of a clump come.
const batchSpan = 50 * time.Millisecond

// Call is one request of a client.
type Call struct {
	At           time.Duration
	Class        *Class
	Zone         string
	Chunks       []placement.Chunk
	OutputTokens int           // tokens
	Work         time.Duration // of a plain request
}

// PromptTokens is the size of the prompt.
func (c *Call) PromptTokens() (n int) {
	for _, part := range c.Chunks {
		n += part.Tokens
	}
	return n
}

// Cost is what the worth of a generation is measured by.
func (c *Call) Cost() float64 {
	const outputWeight = 10
	return float64(c.PromptTokens()) + outputWeight*float64(c.OutputTokens)
}

// trafficGenerator draws the calls of a run.
type trafficGenerator struct {
	scenario *Scenario
	random   *rand.Rand
	calls    []*Call
}

// GenerateTraffic draws the calls of a scenario, in order of time.
func GenerateTraffic(scenario *Scenario, seed uint64) []*Call {
	generator := &trafficGenerator{scenario: scenario, random: rand.New(rand.NewPCG(seed, 1))}
	for i := range scenario.Classes {
		for j := range scenario.Zones {
			generator.generateZone(&scenario.Classes[i], &scenario.Zones[j])
		}
	}
	slices.SortStableFunc(generator.calls, func(a, b *Call) int { return cmp.Compare(a.At, b.At) })
	return generator.calls
}

// generateZone draws the calls of a class from a zone: clumps at a rate that swings, thinned from the highest rate.
func (g *trafficGenerator) generateZone(class *Class, zone *Zone) {
	meanRate := class.RequestsPerSecond * g.scenario.Load * zone.TrafficShare
	batchSize := max(1, zone.RateVariation.MeanBatchSize)
	maxRate := meanRate * (1 + zone.RateVariation.Amplitude) * g.maxBurstFactor(class) / batchSize
	for at := 0.0; maxRate > 0; {
		at += g.random.ExpFloat64() / maxRate
		if at >= g.scenario.Duration.Seconds() {
			return
		}
		now := secondsToDuration(at)
		rate := meanRate * zone.RateVariation.factorAt(now) * g.burstFactor(class, now) / batchSize
		if g.random.Float64()*maxRate >= rate {
			continue
		}
		for range g.sampleBatchSize(batchSize) {
			g.addCall(now+time.Duration(g.random.Float64()*float64(batchSpan)), class, zone.Name)
		}
	}
}

// sampleBatchSize draws from a geometric distribution.
func (g *trafficGenerator) sampleBatchSize(mean float64) int {
	n := 1
	for g.random.Float64() > 1/mean {
		n++
	}
	return n
}

func (w RateVariation) factorAt(now time.Duration) float64 {
	if w.Period <= 0 {
		return 1
	}
	return 1 + w.Amplitude*math.Sin(2*math.Pi*(now.Seconds()/w.Period.Seconds()+w.Phase))
}

func (g *trafficGenerator) burstFactor(class *Class, now time.Duration) float64 {
	factor := 1.0
	for _, b := range g.scenario.Bursts {
		if b.Class == class.Name && now >= b.Start && now < b.Start+b.Duration {
			factor *= b.Factor
		}
	}
	return factor
}

func (g *trafficGenerator) maxBurstFactor(class *Class) float64 {
	factor := 1.0
	for _, b := range g.scenario.Bursts {
		if b.Class == class.Name {
			factor *= max(1, b.Factor)
		}
	}
	return factor
}

func (g *trafficGenerator) addCall(at time.Duration, class *Class, zone string) {
	call := &Call{At: at, Class: class, Zone: zone}
	g.calls = append(g.calls, call)
	if class.Type != configuration.Streaming {
		call.Work = time.Duration(class.WorkMS.Sample(g.random) * float64(time.Millisecond))
		return
	}
	if n := len(class.SharedChunks); n > 0 {
		subject := sampleSkewed(g.random, class.SharedChunks[n-1].Variants, class.Skew)
		for level, part := range class.SharedChunks {
			call.Chunks = append(call.Chunks, sharedChunk(class, level, subject%part.Variants, part.Tokens))
		}
	}
	call.Chunks = append(call.Chunks, placement.Chunk{ID: g.random.Uint64(), Tokens: int(class.OwnTokens.Sample(g.random))})
	call.OutputTokens = int(math.Ceil(class.Events.Sample(g.random))) * g.scenario.tokensPerEvent(class.Service)
}

// sharedChunk is a thing of a class: its id and size are the same in every run.
func sharedChunk(class *Class, level, variant int, size SizeDistribution) placement.Chunk {
	id := xxhash.Sum64String(class.Name + string([]byte{byte(level), byte(variant >> 8), byte(variant)}))
	return placement.Chunk{ID: id, Tokens: int(size.Sample(rand.New(rand.NewPCG(id, 3))))}
}

// sampleSkewed draws one of n things, the i-th with a weight of (i+1) to the power of -skew.
func sampleSkewed(random *rand.Rand, n int, skew float64) int {
	total := 0.0
	for i := range n {
		total += math.Pow(float64(i+1), -skew)
	}
	remaining := random.Float64() * total
	for i := range n {
		remaining -= math.Pow(float64(i+1), -skew)
		if remaining < 0 {
			return i
		}
	}
	return n - 1
}

func secondsToDuration(s float64) time.Duration {
	return time.Duration(math.Round(s * float64(time.Second)))
}
