package emulator

import (
	"context"
	"fmt"
	"time"

	"cinderroad/internal/system/configuration"
	"cinderroad/internal/system/policysim"
	"cinderroad/internal/testkit/checker"
	"cinderroad/internal/testkit/client"
)

// runTraffic sends the traffic and injects the faults. It returns when all of both have ended.
func (e *emulation) runTraffic(ctx context.Context) {
	e.routes = make(map[string]*client.Route)
	for i := range e.options.Scenario.Classes {
		c := &e.options.Scenario.Classes[i]
		e.routes[c.Name] = clientRoute(c)
	}
	e.clients = client.New(client.Options{
		RegionOfZone: e.deployment.zones,
		Directories:  e.deployment.directories,
		StickyOneIn:  e.options.StickyOneIn,
		MaxTTL:       time.Duration(defaultTiming.TTLMaxS) * time.Second,
		Checker:      e.checker,
		Seed:         e.options.Seed,
	})
	for i, fault := range e.options.Faults {
		delay := e.options.Scenario.Duration * time.Duration(i+1) / time.Duration(len(e.options.Faults)+1)
		e.scheduleFault(ctx, fault, delay)
	}
	finishStorm := func() {}
	if e.options.Storm != nil {
		finishStorm = e.startStorm(ctx, e.options.Storm)
	}
	ended := make(chan struct{})
	go e.reportProgress(ended)
	e.clients.Run(ctx, e.calls())
	e.faults.Wait()
	finishStorm()
	close(ended)
}

// clientRoute returns the route of a class as clients and the checker know it.
func clientRoute(c *policysim.Class) *client.Route {
	r := &client.Route{
		Name:          c.Name,
		Host:          routeHost,
		Path:          pathPrefix(c) + "1",
		Stream:        c.Type == configuration.Streaming,
		Resumable:     c.Resumable,
		ReadOnly:      c.Type == configuration.ReadOnly,
		LatencyTarget: c.LatencyTarget,
		MaxEventGap:   c.EventGapTarget,
		Deadline:      c.Deadline,
		MaxRetries:    c.ClientRetries,
	}
	r.CheckerRoute = &checker.Route{
		Name:        c.Name,
		Services:    []string{c.Service},
		HomeRegions: c.HomeRegions,
		Idempotent:  r.ReadOnly || r.Stream && r.Resumable,
	}
	return r
}

// calls returns the clients' calls, with the prompts in the form that the runners read.
func (e *emulation) calls() (calls []*client.Call) {
	const bytesPerToken = 2
	for _, generated := range policysim.GenerateTraffic(e.options.Scenario, e.options.Seed) {
		call := &client.Call{
			Start:           generated.At,
			Route:           e.routes[generated.Class.Name],
			Zone:            generated.Zone,
			PromptTokens:    generated.PromptTokens(),
			MaxOutputTokens: generated.OutputTokens,
			BodyBytes:       bytesPerToken * generated.PromptTokens(),
		}
		if len(generated.Chunks) > 0 {
			call.Model = modelName
		}
		for i, part := range generated.Chunks {
			if i > 0 {
				call.PromptChunks += ","
			}
			call.PromptChunks += fmt.Sprintf("%x:%d", part.ID, part.Tokens)
		}
		if e.options.AlterCall != nil {
			e.options.AlterCall(call)
		}
		calls = append(calls, call)
	}
	return calls
}

// reportProgress writes a line about the progress at intervals, and samples the memory of the processes.
func (e *emulation) reportProgress(ended chan struct{}) {
	began := time.Now()
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ended:
			return
		case <-ticker.C:
		}
		for _, p := range e.processes {
			p.samplePeakMemory()
		}
		tally := e.clients.Stats()
		inTime, rejected, failed := 0, 0, 0
		for _, r := range tally.Routes {
			inTime += r.InTime
			rejected += r.Rejected
			failed += r.Failed
		}
		e.logEvent("serving",
			"at", time.Since(began).Round(progressPrecision),
			"calls", tally.Calls,
			"in_time", inTime,
			"late", tally.Served-inTime,
			"rejected", rejected,
			"failed", failed,
			"retries", tally.Retries,
			"violations", len(e.checker.Violations()))
	}
}
