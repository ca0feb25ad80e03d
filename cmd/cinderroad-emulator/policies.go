package main

import (
	"fmt"
	"os"
	"runtime"
	"sync"
	"time"

	"cinderroad/internal/system/policysim"
)

// policiesCommand compares placement policies: see package policysim.
type policiesCommand struct {
	Scenario string        `name:"scenario" default:"screening" enum:"screening,parcels" help:"Deployment: ${enum}."`
	Load     float64       `name:"load" default:"1" help:"Factor applied to all request rates."`
	Length   time.Duration `name:"length" default:"34s" help:"Duration of the traffic."`
	Seed     uint64        `name:"seed" default:"1" help:"Seed of the random traffic and of the policies."`
	Seeds    int           `name:"seeds" default:"1" help:"Number of runs of each policy, with consecutive seeds; means are printed."`
	Burst    string        `name:"burst" help:"Class whose request rate is multiplied by 2.5 from 10 s to 20 s."`
	Crash    int           `name:"crash" help:"Number of runners that crash at 12 s and restart 4.5 s later."`
	Dark     bool          `name:"dark" help:"Crashed runners stop responding instead of closing their connections."`
	Only     []string      `name:"only" help:"Names of the policies to compare; default: all."`
	Jobs     int           `name:"jobs" help:"Number of concurrent runs; default: half of the processors."`
}

// The burst and the crashes that the flags add to a scenario; the flags' help texts state these values, too.
const (
	burstFactor    = 2.5
	burstFrom      = 10 * time.Second
	burstFor       = 10 * time.Second
	crashAt        = 12 * time.Second
	crashFor       = 4500 * time.Millisecond
	crashedService = "llm" // both scenarios have it
	crashStride    = 3     // every third runner crashes, so that they are in several zones
)

// Run implements the command.
func (p *policiesCommand) Run() error {
	factories, err := p.factories()
	if err != nil {
		return err
	}
	p.Seeds = max(1, p.Seeds)
	jobs := make(chan struct{}, p.jobs())
	results := make([]*policysim.Result, len(factories)*p.Seeds)
	errs := make([]error, len(results))
	var group sync.WaitGroup
	for i := range results {
		group.Add(1)
		jobs <- struct{}{}
		go func() {
			defer group.Done()
			defer func() { <-jobs }()
			results[i], errs[i] = policysim.Run(p.scenario(), factories[i/p.Seeds], p.Seed+uint64(i%p.Seeds))
		}()
	}
	group.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	means := make([]*policysim.Result, len(factories))
	for i := range means {
		means[i] = policysim.Mean(results[i*p.Seeds : (i+1)*p.Seeds])
	}
	return policysim.Print(os.Stdout, means)
}

func (p *policiesCommand) jobs() int {
	if p.Jobs > 0 {
		return p.Jobs
	}
	return max(1, runtime.NumCPU()/2)
}

func (p *policiesCommand) factories() ([]policysim.PolicyFactory, error) {
	all := policysim.Policies()
	if len(p.Only) == 0 {
		return all, nil
	}
	var chosen []policysim.PolicyFactory
	for _, name := range p.Only {
		found := false
		for _, factory := range all {
			if factory.Name == name {
				chosen = append(chosen, factory)
				found = true
			}
		}
		if !found {
			return nil, fmt.Errorf("there is no policy %q", name)
		}
	}
	return chosen, nil
}

func (p *policiesCommand) scenario() *policysim.Scenario {
	s := scenarioByName(p.Scenario)
	s.Duration = p.Length
	s.Load = p.Load
	if p.Burst != "" {
		s.Bursts = []policysim.Burst{{
			Class:    p.Burst,
			Factor:   burstFactor,
			Start:    burstFrom,
			Duration: burstFor,
		}}
	}
	for i := range p.Crash {
		s.Crashes = append(s.Crashes, policysim.Crash{
			Service:     crashedService,
			RunnerIndex: i * crashStride,
			At:          crashAt,
			Downtime:    crashFor,
			Silent:      p.Dark,
		})
	}
	return s
}
