package policysim

import (
	"time"

	"cinderroad/internal/system/configuration"
	"cinderroad/internal/testkit/engine"
)

// Scenario is a deployment, its traffic, and what happens to it.
type Scenario struct {
	Name     string
	Length   time.Duration
	Load     float64 // multiple of every class's rate
	Zones    []Zone
	Services []Service
	Classes  []Class
	Bursts   []Burst
	Crashes  []Crash

	InZone, CrossZone, CrossRegion time.Duration // one way
	Client                         time.Duration // one way, from a client to a proxy
	ListLag                        time.Duration // how old the proxies' list of runners is
}

// Zone is where proxies and clients are.
type Zone struct {
	Name, Region string
	Proxies      int
	Share        float64 // of the traffic
	Wave         Wave
}

// Service is a group of runners.
type Service struct {
	Name     string
	Runners  map[string]int  // in each zone
	Engine   *engine.Options // nil: plain
	Slots    int             // of a plain runner
	Queue    int
	MaxConns int
	ColdFor  time.Duration
	ColdRate float64
}

// Burst multiplies a class's rate for a while.
type Burst struct {
	Class     string
	Factor    float64
	From, For time.Duration
}

// Crash ends a runner without a word. After a while it comes back as a new incarnation, with nothing kept; the list
// drops it after ListLag.
type Crash struct {
	Service string
	Runner  int // in order of zones
	At, For time.Duration
	Dark    bool // it just says nothing any more, instead of losing its connections
}

func (s *Scenario) service(name string) *Service {
	for i := range s.Services {
		if s.Services[i].Name == name {
			return &s.Services[i]
		}
	}
	return nil
}

func (s *Scenario) stride(service string) int {
	if found := s.service(service); found != nil && found.Engine != nil {
		return found.Engine.StrideTokens
	}
	return 1
}

func (s *Scenario) region(zone string) string {
	for i := range s.Zones {
		if s.Zones[i].Name == zone {
			return s.Zones[i].Region
		}
	}
	return ""
}

// delay is how long a message takes from one zone to another.
func (s *Scenario) delay(from, to string) time.Duration {
	switch {
	case from == to:
		return s.InZone
	case s.region(from) == s.region(to):
		return s.CrossZone
	default:
		return s.CrossRegion
	}
}

// ms is a number of milliseconds.
func ms(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }

// Screening is a deployment of three zones in two regions with ten engines: long prompts with shared parts, short
// explanations, and long answers that are bound to one region, beside plain look-ups.
func Screening() *Scenario {
	wave := func(phase float64) Wave { return Wave{Swing: 0.4, Period: 26 * time.Second, Phase: phase, Clump: 3} }
	return &Scenario{
		Name: "screening", Length: 34 * time.Second, Load: 1,
		InZone: ms(0.1), CrossZone: ms(1.4), CrossRegion: ms(20), Client: ms(3), ListLag: ms(1500),
		Zones: []Zone{
			{Name: "west-a", Region: "west", Proxies: 3, Share: 0.25, Wave: wave(0)},
			{Name: "west-b", Region: "west", Proxies: 2, Share: 0.25, Wave: wave(0)},
			{Name: "east-a", Region: "east", Proxies: 2, Share: 0.5, Wave: wave(0.5)},
		},
		Services: []Service{
			{Name: "llm", Runners: map[string]int{"west-a": 3, "west-b": 3, "east-a": 4}, Engine: engineOptions(5.47, 38.7,
				230413),
				MaxConns: 360, ColdFor: 3 * time.Second, ColdRate: 9.2},
			{Name: "api", Runners: map[string]int{"west-a": 1, "west-b": 1, "east-a": 1}, Slots: 6, Queue: 24, MaxConns: 100},
		},
		Classes: classes([4]float64{9.78, 13.9, 11.6, 8.79}, 15, ms(200), time.Second),
	}
}

// Parcels is a deployment like Screening with somewhat faster engines, half as much traffic again and no homes.
func Parcels() *Scenario {
	s := Screening()
	s.Name = "parcels"
	s.CrossZone, s.CrossRegion = ms(0.9), ms(12)
	s.Zones[0].Proxies = 3
	s.Zones[1].Proxies = 2
	s.Zones[2].Proxies = 3
	s.Services[0].Runners = map[string]int{"west-a": 3, "west-b": 3, "east-a": 5}
	s.Services[0].Engine = engineOptions(5.55, 42.6, 253713)
	s.Classes = classes([4]float64{15.1, 20.6, 15, 12.7}, 60, ms(300), 2*time.Second)
	for i := range s.Classes {
		s.Classes[i].Homes = nil
	}
	return s
}

func engineOptions(stepMS, prefillPerMS float64, memory int) *engine.Options {
	return &engine.Options{Slots: 64, Queue: 179, MemoryTokens: memory, BlockTokens: 16, Step: ms(stepMS),
		StepPerSlot: ms(0.0121), StepPerKilo: ms(0.023), PrefillPerMS: prefillPerMS, PairsPerMega: ms(0.737),
		ChunkTokens: 2048, StrideTokens: 4}
}

func classes(perS [4]float64, workMS float64, lookupTarget, lookupDeadline time.Duration) []Class {
	return []Class{
		{Name: "review", Service: "llm", Type: configuration.Streaming, PerS: perS[0], Target: ms(800), Gap: ms(400),
			Deadline: 5 * time.Second, Worth: 2, Late: 0.6, Rank: 1, Tries: 1, Retries: 1,
			Shared: []SharedPart{{Size{2520, 0.4, 6290}, 4}, {Size{3780, 0.7, 11300}, 37}}, Skew: 0.3,
			Own: Size{2890, 1, 39600}, Events: Size{13, 1.4, 52.1}},
		{Name: "explain", Service: "llm", Type: configuration.Streaming, PerS: perS[1], Target: ms(600), Gap: ms(400),
			Deadline: 3 * time.Second, Worth: 3, Late: 0.9, Rank: 0, Tries: 2, Retries: 1, Resume: true,
			Shared: []SharedPart{{Size{341, 0.4, 851}, 40}, {Size{227, 0.7, 681}, 52}}, Skew: 0.3,
			Own: Size{1800, 1.3, 6870}, Events: Size{5.64, 1.4, 22.6}},
		{Name: "draft", Service: "llm", Type: configuration.Streaming, PerS: perS[2], Target: ms(500), Gap: ms(400),
			Deadline: 15 * time.Second, Worth: 1, Late: 0.3, Rank: 2, Tries: 1, Retries: 1, Homes: []string{"west"},
			Shared: []SharedPart{{Size{103, 0.4, 257}, 20}, {Size{68.6, 0.7, 206}, 98}}, Skew: 0.3,
			Own: Size{543, 0.89, 2310}, Events: Size{70, 0.7, 238}},
		{Name: "lookup", Service: "api", Type: configuration.ReadOnly, PerS: perS[3], Target: lookupTarget,
			Deadline: lookupDeadline, Worth: 1, Late: 0.3, Rank: 2, Tries: 2, Retries: 1, Work: Size{workMS, 0.5, 110}},
	}
}
