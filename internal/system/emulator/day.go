package emulator

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"cinderroad/internal/system/configuration"
	"cinderroad/internal/system/policysim"
	"cinderroad/internal/testkit/checker"
	"cinderroad/internal/testkit/client"
	"cinderroad/internal/testkit/fakeplatform"
	"cinderroad/internal/testkit/runner"
)

// Options describe a day.
type Options struct {
	Scenario *policysim.Scenario
	Edges    int       // machines that serve clients
	Programs string    // folder of the system's programs
	Folder   string    // for settings, logs and disks; empty: a temporary one that goes after a day without a breach
	Troubles []Trouble // that come one after the other, evenly over the day
	Seed     uint64
	Out      io.Writer // for progress
}

// Bounds of waits.
const (
	configurationWait = 40 * time.Second
	readyWait         = 40 * time.Second
	readWait          = 10 * time.Second
	pollEvery         = 50 * time.Millisecond
	progressEvery     = time.Second
	tenth             = 100 * time.Millisecond
	firstVersion      = 3
	cloudIP           = "127.2.0.1:0"
)

// day is a day that is played.
type day struct {
	options   Options
	deploy    *deployment
	cloud     *fakeplatform.Cloud
	referee   *checker.Referee
	runners   *runners
	processes []*process
	operator  *operator
	load      *client.Load
	routes    map[string]*client.Route // by class
	document  document                 // that is in force
	stats     []runner.Stats           // of all runners, once they are closed
	troubles  sync.WaitGroup
}

// Run plays a day.
func Run(ctx context.Context, o Options) (*Report, error) {
	programs, err := findPrograms(o.Programs)
	if err != nil {
		return nil, err
	}
	temporary := o.Folder == ""
	if temporary {
		if o.Folder, err = os.MkdirTemp("", "cinderroad-emulator-"); err != nil {
			return nil, err
		}
	}
	if err := os.MkdirAll(o.Folder, 0o750); err != nil {
		return nil, err
	}
	d := &day{options: o}
	d.referee = checker.New(checker.Bounds{Drain: millis(defaultTiming.DrainWithinMS),
		Evacuate:   millis(defaultTiming.EvacuateMS),
		RetryRatio: defaultTiming.RetryRatio, RetryWindow: time.Duration(defaultTiming.RetryWindowS) * time.Second,
		RetryExtra: defaultTiming.RetryExtra}, nil)
	report, err := d.play(ctx, programs)
	if err != nil {
		return nil, fmt.Errorf("%w (logs are in %s)", err, o.Folder)
	}
	if temporary && !report.Failed() {
		return report, os.RemoveAll(o.Folder)
	}
	report.Folder = o.Folder
	return report, nil
}

func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func (d *day) play(ctx context.Context, programs map[program]string) (*Report, error) {
	defer d.stop()
	if err := d.start(programs); err != nil {
		return nil, err
	}
	if err := d.configure(ctx); err != nil {
		return nil, err
	}
	if err := d.awaitReady(ctx); err != nil {
		return nil, err
	}
	d.serve(ctx)
	d.checkConfiguration(ctx)
	d.stop()
	return d.report(), nil
}

// start starts the stand-ins and the programs.
func (d *day) start(programs map[program]string) (err error) {
	if d.deploy, err = plan(d.options.Scenario, d.options.Edges, d.options.Folder); err != nil {
		return err
	}
	d.cloud, err = fakeplatform.Start(fakeplatform.Options{Address: cloudIP, Lag: millis(cloudLagMS), Page: cloudPage,
		RatePerS: cloudRatePerS})
	if err != nil {
		return err
	}
	d.deploy.cloudAddress = d.cloud.Address()
	if d.runners, err = startRunners(d.options.Scenario, d.deploy.zones, d.cloud, d.referee); err != nil {
		return err
	}
	for _, m := range d.deploy.machines {
		for _, p := range programsOf(m) {
			proc, err := d.deploy.startProcess(m, p, programs[p])
			if err != nil {
				return err
			}
			d.processes = append(d.processes, proc)
		}
	}
	d.operator = d.deploy.operator()
	return nil
}

func programsOf(m *machine) []program {
	if m.class == coreClass {
		return []program{control}
	}
	return []program{proxy, agent}
}

// configure sends the first configuration until it is taken.
func (d *day) configure(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, configurationWait)
	defer cancel()
	d.document = documentOf(d.options.Scenario, firstVersion)
	began := time.Now()
	if err := d.operator.replace(ctx, d.document, 0); err != nil {
		return fmt.Errorf("the first configuration was not taken: %w", err)
	}
	d.say("configuration taken", "version", firstVersion, "after", time.Since(began).Round(time.Millisecond))
	return nil
}

// awaitReady waits until every edge machine is ready.
func (d *day) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyWait)
	defer cancel()
	began := time.Now()
	for _, m := range d.deploy.of(edgeClass) {
		if err := poll(ctx, func() bool { return ready(ctx, m.at(d.deploy.ports.ready).String()) }); err != nil {
			return fmt.Errorf("%s is not ready after %v: %w", m.name, time.Since(began).Round(time.Second), err)
		}
	}
	d.say("edges ready", "machines", len(d.deploy.of(edgeClass)), "after", time.Since(began).Round(time.Millisecond))
	return nil
}

func ready(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/-/ready", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(q)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// poll waits for a state.
func poll(ctx context.Context, ok func() bool) error {
	ticker := time.NewTicker(pollEvery)
	defer ticker.Stop()
	for !ok() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// serve plays the day's traffic and troubles.
func (d *day) serve(ctx context.Context) {
	d.routes = make(map[string]*client.Route)
	for i := range d.options.Scenario.Classes {
		c := &d.options.Scenario.Classes[i]
		d.routes[c.Name] = clientRoute(c)
	}
	d.load = client.New(client.Options{Zones: d.deploy.zones, Directories: d.deploy.directories,
		TTLMax: time.Duration(defaultTiming.TTLMaxS) * time.Second, Referee: d.referee, Seed: d.options.Seed})
	for i, trouble := range d.options.Troubles {
		d.schedule(ctx, trouble, d.options.Scenario.Duration*time.Duration(i+1)/time.Duration(len(d.options.Troubles)+1))
	}
	ended := make(chan struct{})
	go d.progress(ended)
	d.load.Run(ctx, d.calls())
	d.troubles.Wait()
	close(ended)
}

func clientRoute(c *policysim.Class) *client.Route {
	r := &client.Route{Name: c.Name, Host: host, Path: pathStart(c) + "1", Stream: c.Type == configuration.Streaming,
		Resumable: c.Resumable,
		ReadOnly:  c.Type == configuration.ReadOnly, Target: c.LatencyTarget, Gap: c.EventGapTarget, Deadline: c.Deadline, Retries: c.ClientRetries}
	r.Referee = &checker.Route{Name: c.Name, Services: []string{c.Service}, Homes: c.HomeRegions, Idempotent: r.ReadOnly ||
		r.Stream && r.Resumable}
	return r
}

// calls are the day's traffic.
func (d *day) calls() (calls []*client.Call) {
	const bytesPerToken = 2
	for _, drawn := range policysim.GenerateTraffic(d.options.Scenario, d.options.Seed) {
		one := &client.Call{At: drawn.At, Route: d.routes[drawn.Class.Name], Zone: drawn.Zone, TokensIn: drawn.PromptTokens(),
			TokensOut: drawn.OutputTokens, Bytes: bytesPerToken * drawn.PromptTokens()}
		if len(drawn.Chunks) > 0 {
			one.Model = modelName
		}
		for i, part := range drawn.Chunks {
			if i > 0 {
				one.Prompt += ","
			}
			one.Prompt += fmt.Sprintf("%x:%d", part.ID, part.Tokens)
		}
		calls = append(calls, one)
	}
	return calls
}

// progress tells how the day goes.
func (d *day) progress(ended chan struct{}) {
	began := time.Now()
	ticker := time.NewTicker(progressEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ended:
			return
		case <-ticker.C:
		}
		for _, p := range d.processes {
			p.noteMemory()
		}
		t := d.load.Tally()
		inTime, refused, failed := 0, 0, 0
		for _, r := range t.Routes {
			inTime, refused, failed = inTime+r.InTime, refused+r.Refused, failed+r.Failed
		}
		d.say("serving", "at", time.Since(began).Round(tenth), "calls", t.Calls, "in_time", inTime, "late", t.Served-inTime,
			"refused", refused, "failed", failed, "retries", t.Retries, "breaches", len(d.referee.Breaches()))
	}
}

// say writes one line of key=value pairs.
func (d *day) say(event string, pairs ...any) {
	line := fmt.Sprintf("event=%q", event)
	for i := 0; i+1 < len(pairs); i += 2 {
		line += fmt.Sprintf(" %v=%v", pairs[i], pairs[i+1])
	}
	fmt.Fprintln(d.options.Out, line)
}

// checkConfiguration reads the configuration back.
func (d *day) checkConfiguration(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readWait)
	defer cancel()
	got, err := d.operator.read(ctx)
	switch {
	case err != nil:
		d.referee.Break(checker.Configed, "the configuration could not be read back: %v", err)
	case got.Version != d.document.Version || len(got.Routes) != len(d.document.Routes):
		d.referee.Break(checker.Configed, "version %d with %d routes was read back, %d with %d was acknowledged",
			got.Version, len(got.Routes), d.document.Version, len(d.document.Routes))
	}
}

// stop ends the programs, all at once.
func (d *day) stop() {
	var group sync.WaitGroup
	for _, p := range d.processes {
		group.Add(1)
		go func() {
			defer group.Done()
			p.stop(time.Duration(defaultTiming.GracePeriodS) * time.Second)
		}()
	}
	group.Wait()
	if d.cloud != nil {
		d.cloud.Close()
	}
	if d.runners != nil {
		d.stats = append(d.stats, d.runners.close()...)
	}
}
