package policysim

import (
	"time"

	"cinderroad/internal/system/configuration"
	"cinderroad/internal/testkit/engine"
)

// milliseconds returns a duration of n milliseconds.
func milliseconds(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }

// Screening returns a deployment of three zones in two regions with ten engines. Its traffic has long prompts with
// shared prefixes, short explanations and long responses that are bound to one region, beside lookups without an
// engine.
func Screening() *Scenario {
	wave := func(phase float64) RateVariation {
		return RateVariation{Amplitude: 0.4, Period: 26 * time.Second, Phase: phase, MeanBatchSize: 3}
	}
	return &Scenario{
		Name:               "screening",
		Duration:           34 * time.Second,
		Load:               1,
		ZoneLatency:        milliseconds(0.1),
		CrossZoneLatency:   milliseconds(1.4),
		CrossRegionLatency: milliseconds(20),
		ClientLatency:      milliseconds(3),
		DiscoveryLag:       milliseconds(1500),
		Zones: []Zone{
			{Name: "west-a", Region: "west", Proxies: 3, TrafficShare: 0.25, RateVariation: wave(0)},
			{Name: "west-b", Region: "west", Proxies: 2, TrafficShare: 0.25, RateVariation: wave(0)},
			{Name: "east-a", Region: "east", Proxies: 2, TrafficShare: 0.5, RateVariation: wave(0.5)},
		},
		Services: []Service{
			{
				Name:              "llm",
				Runners:           map[string]int{"west-a": 3, "west-b": 3, "east-a": 4},
				Engine:            engineOptions(5.47, 38.7, 230413),
				MaxConnections:    360,
				SlowStartDuration: 3 * time.Second,
				SlowStartRate:     9.2,
			},
			{
				Name:           "api",
				Runners:        map[string]int{"west-a": 1, "west-b": 1, "east-a": 1},
				Slots:          6,
				QueueLength:    24,
				MaxConnections: 100,
			},
		},
		Classes: []Class{
			reviewClass(9.78),
			explainClass(13.9),
			draftClass(11.6),
			lookupClass(8.79, 15, milliseconds(200), time.Second),
		},
	}
}

// Parcels returns a deployment like Screening with somewhat faster engines, half as much traffic again and no home
// regions.
func Parcels() *Scenario {
	s := Screening()
	s.Name = "parcels"
	s.CrossZoneLatency = milliseconds(0.9)
	s.CrossRegionLatency = milliseconds(12)
	s.Zones[0].Proxies = 3
	s.Zones[1].Proxies = 2
	s.Zones[2].Proxies = 3
	s.Services[0].Runners = map[string]int{"west-a": 3, "west-b": 3, "east-a": 5}
	s.Services[0].Engine = engineOptions(5.55, 42.6, 253713)
	s.Classes = []Class{
		reviewClass(15.1),
		explainClass(20.6),
		draftClass(15),
		lookupClass(12.7, 60, milliseconds(300), 2*time.Second),
	}
	for i := range s.Classes {
		s.Classes[i].HomeRegions = nil
	}
	return s
}

// The sizes below are the mean, the standard deviation of the logarithm and the largest value of a distribution; those of
// prompts are in tokens, those of responses in events, those of work in milliseconds.

// engineOptions returns the properties of an engine: the least time of a step in milliseconds, the prompt tokens that it
// prefills in a millisecond, and its memory in tokens.
func engineOptions(stepMS, prefillPerMS float64, memory int) *engine.Options {
	return &engine.Options{
		MaxRunning:           64,
		MaxQueued:            179,
		MemoryTokens:         memory,
		BlockTokens:          16,
		StepTime:             milliseconds(stepMS),
		StepTimePerRequest:   milliseconds(0.0121),
		StepTimePerKilotoken: milliseconds(0.023),
		PrefillTokensPerMS:   prefillPerMS,
		StepTimePerMegapair:  milliseconds(0.737),
		PrefillTokensPerStep: 2048,
		EventTokens:          4,
	}
}

// streamingClass returns what all classes of the language model have in common.
func streamingClass(name string, rate float64) Class {
	return Class{
		Name:              name,
		Service:           "llm",
		Type:              configuration.Streaming,
		RequestsPerSecond: rate,
		EventGapTarget:    milliseconds(400),
		ClientRetries:     1,
		Skew:              0.3,
	}
}

// reviewClass returns the class of long prompts with shared prefixes.
func reviewClass(rate float64) Class {
	class := streamingClass("review", rate)
	class.LatencyTarget = milliseconds(800)
	class.Deadline = 5 * time.Second
	class.ValueInTime = 2
	class.ValueLate = 0.6
	class.Rank = 1
	class.MaxAttempts = 1
	class.SharedChunks = []SharedChunk{
		{SizeDistribution{2520, 0.4, 6290}, 4},
		{SizeDistribution{3780, 0.7, 11300}, 37},
	}
	class.OwnTokens = SizeDistribution{2890, 1, 39600}
	class.Events = SizeDistribution{13, 1.4, 52.1}
	return class
}

// explainClass returns the class of short explanations, whose streams may be resumed.
func explainClass(rate float64) Class {
	class := streamingClass("explain", rate)
	class.LatencyTarget = milliseconds(600)
	class.Deadline = 3 * time.Second
	class.ValueInTime = 3
	class.ValueLate = 0.9
	class.Rank = 0
	class.MaxAttempts = 2
	class.Resumable = true
	class.SharedChunks = []SharedChunk{
		{SizeDistribution{341, 0.4, 851}, 40},
		{SizeDistribution{227, 0.7, 681}, 52},
	}
	class.OwnTokens = SizeDistribution{1800, 1.3, 6870}
	class.Events = SizeDistribution{5.64, 1.4, 22.6}
	return class
}

// draftClass returns the class of long responses, which are bound to one region.
func draftClass(rate float64) Class {
	class := streamingClass("draft", rate)
	class.LatencyTarget = milliseconds(500)
	class.Deadline = 15 * time.Second
	class.ValueInTime = 1
	class.ValueLate = 0.3
	class.Rank = 2
	class.MaxAttempts = 1
	class.HomeRegions = []string{"west"}
	class.SharedChunks = []SharedChunk{
		{SizeDistribution{103, 0.4, 257}, 20},
		{SizeDistribution{68.6, 0.7, 206}, 98},
	}
	class.OwnTokens = SizeDistribution{543, 0.89, 2310}
	class.Events = SizeDistribution{70, 0.7, 238}
	return class
}

// lookupClass returns the class of lookups without an engine; workMS is the mean of their work in milliseconds.
func lookupClass(rate, workMS float64, target, deadline time.Duration) Class {
	return Class{
		Name:              "lookup",
		Service:           "api",
		Type:              configuration.ReadOnly,
		RequestsPerSecond: rate,
		LatencyTarget:     target,
		Deadline:          deadline,
		ValueInTime:       1,
		ValueLate:         0.3,
		Rank:              2,
		MaxAttempts:       2,
		ClientRetries:     1,
		WorkMS:            SizeDistribution{workMS, 0.5, 110},
	}
}
