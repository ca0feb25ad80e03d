package policysim

import (
	"math"
	"math/rand/v2"
	"time"

	"cinderroad/internal/system/configuration"
	"cinderroad/internal/system/placement"
)

// SizeDistribution is a log-normal distribution of sizes, cut off at a largest value.
type SizeDistribution struct {
	Mean   float64
	Spread float64 // standard deviation of the logarithm
	Max    float64 // 0: none
}

// Sample draws a size, at least 1.
func (s SizeDistribution) Sample(random *rand.Rand) float64 {
	size := s.Mean * math.Exp(s.Spread*random.NormFloat64()-s.Spread*s.Spread/2)
	if s.Max > 0 {
		size = min(size, s.Max)
	}
	return max(1, size)
}

// SharedChunk is a level of the prompts' shared prefixes: each request of a class has one of the variants.
type SharedChunk struct {
	Tokens   SizeDistribution
	Variants int
}

// Class is a kind of request.
type Class struct {
	Name              string
	Service           string
	Type              configuration.RouteType
	RequestsPerSecond float64       // over all zones
	LatencyTarget     time.Duration // to the first event of a stream, or to a complete response
	EventGapTarget    time.Duration // longest pause between events that is still in time
	Deadline          time.Duration
	ValueInTime       float64 // of a call that is in time
	ValueLate         float64 // of a call that is late
	Rank              int     // of the route; 0 is the most urgent
	MaxAttempts       int     // runners that a proxy may send one request to
	ClientRetries     int     // that a client makes
	SharedChunks      []SharedChunk
	Skew              float64          // how much more frequent the first variants of the last shared chunk are
	OwnTokens         SizeDistribution // of the chunk that is the request's own
	Events            SizeDistribution // of a response
	WorkMS            SizeDistribution // of a request to a service without an engine
	HomeRegions       []string
	Resumable         bool
}

// RateVariation is how the rate of a zone's traffic varies about its mean.
type RateVariation struct {
	Amplitude     float64 // as a share of the mean
	Period        time.Duration
	Phase         float64 // as a share of the period
	MeanBatchSize float64 // mean number of requests that arrive together
}

// factorAt returns the factor of the mean rate at a time.
func (v RateVariation) factorAt(now time.Duration) float64 {
	if v.Period <= 0 {
		return 1
	}
	return 1 + v.Amplitude*math.Sin(2*math.Pi*(now.Seconds()/v.Period.Seconds()+v.Phase))
}

// Call is one request of a client.
type Call struct {
	At           time.Duration
	Class        *Class
	Zone         string
	Chunks       []placement.Chunk
	OutputTokens int           // of the whole response
	Work         time.Duration // of a request to a service without an engine
}

// PromptTokens returns the size of the prompt.
func (c *Call) PromptTokens() (n int) {
	for _, chunk := range c.Chunks {
		n += chunk.Tokens
	}
	return n
}

// Cost returns the approximate work of a generation, in tokens of a prompt. The value of a call grows with it (callValue).
func (c *Call) Cost() float64 {
	const outputWeight = 10 // of a decoded token, relative to a prefilled one
	return float64(c.PromptTokens()) + outputWeight*float64(c.OutputTokens)
}
