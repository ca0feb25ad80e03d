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

// Streams of the random generator: the traffic, the baseline policies and the sizes of shared chunks draw from different
// ones, so that equal seeds do not make them depend on each other.
const (
	trafficStream = 1
	policyStream  = 2
	chunkStream   = 3
)

// batchSpan is the time within which the requests of a batch arrive.
const batchSpan = 50 * time.Millisecond

// trafficGenerator generates the calls of a run.
type trafficGenerator struct {
	scenario *Scenario
	random   *rand.Rand
	calls    []*Call
}

// GenerateTraffic returns the calls of a scenario, in order of time. The same scenario and seed give the same calls.
func GenerateTraffic(scenario *Scenario, seed uint64) []*Call {
	generator := &trafficGenerator{scenario: scenario, random: rand.New(rand.NewPCG(seed, trafficStream))}
	for i := range scenario.Classes {
		for j := range scenario.Zones {
			generator.generateZone(&scenario.Classes[i], &scenario.Zones[j])
		}
	}
	slices.SortStableFunc(generator.calls, func(a, b *Call) int { return cmp.Compare(a.At, b.At) })
	return generator.calls
}

// generateZone generates the calls of a class from a zone: batches at a varying rate, by thinning a process with the
// highest rate.
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

// burstFactor returns the factor of a class's rate at a time.
func (g *trafficGenerator) burstFactor(class *Class, now time.Duration) float64 {
	factor := 1.0
	for _, b := range g.scenario.Bursts {
		if b.Class == class.Name && now >= b.Start && now < b.Start+b.Duration {
			factor *= b.Factor
		}
	}
	return factor
}

// maxBurstFactor returns an upper bound of burstFactor over all times.
func (g *trafficGenerator) maxBurstFactor(class *Class) float64 {
	factor := 1.0
	for _, b := range g.scenario.Bursts {
		if b.Class == class.Name {
			factor *= max(1, b.Factor)
		}
	}
	return factor
}

// addCall draws a call of a class.
func (g *trafficGenerator) addCall(at time.Duration, class *Class, zone string) {
	call := &Call{At: at, Class: class, Zone: zone}
	g.calls = append(g.calls, call)
	if class.Type != configuration.Streaming {
		call.Work = time.Duration(class.WorkMS.Sample(g.random) * float64(time.Millisecond))
		return
	}
	if n := len(class.SharedChunks); n > 0 {
		variant := sampleSkewed(g.random, class.SharedChunks[n-1].Variants, class.Skew)
		for level, shared := range class.SharedChunks {
			call.Chunks = append(call.Chunks, sharedChunk(class, level, variant%shared.Variants, shared.Tokens))
		}
	}
	call.Chunks = append(call.Chunks, placement.Chunk{
		ID:     g.random.Uint64(),
		Tokens: int(class.OwnTokens.Sample(g.random)),
	})
	call.OutputTokens = int(math.Ceil(class.Events.Sample(g.random))) * g.scenario.tokensPerEvent(class.Service)
}

// sharedChunk returns a variant of a shared chunk. Its id and size are the same in every run.
func sharedChunk(class *Class, level, variant int, size SizeDistribution) placement.Chunk {
	id := xxhash.Sum64String(class.Name + string([]byte{byte(level), byte(variant >> 8), byte(variant)}))
	return placement.Chunk{ID: id, Tokens: int(size.Sample(rand.New(rand.NewPCG(id, chunkStream))))}
}

// sampleSkewed draws one of n variants, the i-th with a weight of (i+1) to the power of -skew.
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
