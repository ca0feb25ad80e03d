package program

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"path/filepath"
	"time"

	"go.uber.org/zap"

	"cinderroad/brain"
	"cinderroad/internal/fleet/ledger"
	"cinderroad/internal/handover"
	"cinderroad/internal/metrics"
	"cinderroad/internal/operator"
	"cinderroad/internal/requestlog"
	"cinderroad/internal/routing"
	"cinderroad/internal/spool"
	"cinderroad/internal/telemetry"
	"cinderroad/internal/transport"
)

const (
	handEvery   = 0.25    // seconds between two words of what was counted, to the next process
	handPeriods = 2 << 20 // bytes of periods that are handed over where no disk holds them
	lastTime    = 0.5     // seconds that receivers have for the last period
	closeTime   = 2 * time.Second
)

// books are the figures and the request log of a dispatcher, and their way through reloads and upgrades. A nil *books keeps
// none: every method takes that.
type books struct {
	p     *Program
	set   *telemetry.Set
	feed  *metrics.Feed
	log   *requestlog.Log
	spool *spool.Spool
	file  *operator.File

	outputs  map[string]metrics.Output // by what the file says of them
	expected bool                      // the process before this one owes its totals
	given    *handover.Link            // the next process has them, and gets what is counted since
	told     bool                      // it has the totals
	hand     *transport.Deadline
	limit    float64 // when the last period must be delivered; 0: it is not closed yet
}

// newBooks opens the books; nil where the operator wants none.
func newBooks(p *Program) (*books, error) {
	f := p.config.Operator
	if len(f.Graphite)+len(f.Collectd) == 0 && f.Telemetry.SpoolDir == "" && f.RequestLog == nil {
		return nil, nil
	}
	b := &books{p: p, file: f, outputs: map[string]metrics.Output{}}
	b.set = telemetry.New(telemetry.Options{Settings: p.config.brain, Classes: p.config.classes(), Zones: p.config.names.FailureDomains,
		Kinds: p.config.names.Kinds, Nodes: *f.Telemetry.NodeSeries, Standing: p.core.Standing, Now: p.loop.Now,
		Log: func(line string) { p.log.Info("telemetry: " + line) }})
	b.feed = metrics.NewFeed(p.loop, p.log, b.set, metrics.Options{Host: p.config.Name, Every: f.Telemetry.Every, Bytes: f.Telemetry.MemoryBytes})
	next, err := b.prepare(f)
	if err != nil {
		return nil, err
	}
	b.install(next)
	addFigures(p, b.set)
	addBooks(p, b.set)
	p.core.Observer = b
	b.flushLog()
	return b, nil
}

// delivers says whether figures leave the process.
func (b *books) delivers() bool {
	return b != nil && (len(b.outputs) > 0 || b.file.Telemetry.SpoolDir != "")
}

// Answered implements routing.Observer, and so do the next ones.
func (b *books) Answered(f *routing.Final) {
	b.set.Answered(f)
	if b.log != nil {
		b.log.Answered(f)
	}
}

// Tried implements routing.Observer.
func (b *books) Tried(t *routing.Try) { b.set.Tried(t) }

// Listed implements routing.Observer.
func (b *books) Listed(kind brain.ListKind, members []routing.Member) { b.set.Listed(kind, members) }

// Reported implements routing.Observer.
func (b *books) Reported(worker brain.WorkerID, at float64, report []float32, probed bool) {
	b.set.Reported(worker, at, report, probed)
}

// Drained implements routing.Observer.
func (b *books) Drained(worker brain.WorkerID, margin float64) { b.set.Drained(worker, margin) }

func (b *books) flushLog() {
	b.p.loop.At(b.p.loop.Now()+requestlog.FlushEvery, func() {
		if b.log != nil {
			b.log.Flush()
		}
		b.flushLog()
	})
}

// rebooked is what a reload would change.
type rebooked struct {
	file    *operator.File
	outputs map[string]metrics.Output
	log     *requestlog.Log // nil: as before, or none
}

// prepare opens what an operator's file names and is not open yet; nothing changes before take.
func (b *books) prepare(f *operator.File) (*rebooked, error) {
	if b == nil {
		return &rebooked{file: f}, nil
	}
	r := &rebooked{file: f, outputs: map[string]metrics.Output{}}
	for key, make := range outputsOf(f) {
		if r.outputs[key] = b.outputs[key]; r.outputs[key] == nil {
			r.outputs[key] = make()
		}
	}
	if l := f.RequestLog; l != nil && (b.log == nil || !sameLog(l, b.file.RequestLog)) {
		log, err := requestlog.Open(requestlog.Options{Path: l.Path, MaxBytes: l.MaxBytes, Keep: *l.Keep, By: b.p.config.Name, Life: ledger.Life(b.p.started),
			Classes: b.p.config.classes(), Slot: b.set.Slot, Report: b.report("request log")})
		if err != nil {
			return nil, fmt.Errorf("operator's file: request_log.path: %w", err)
		}
		r.log = log
	}
	return r, nil
}

func sameLog(x, y *operator.RequestLog) bool {
	return x != nil && y != nil && x.Path == y.Path && x.MaxBytes == y.MaxBytes && *x.Keep == *y.Keep
}

// outputsOf are the outputs that a file names, by all that is said of each.
func outputsOf(f *operator.File) map[string]func() metrics.Output {
	all := map[string]func() metrics.Output{}
	for _, g := range f.Graphite {
		all[fmt.Sprintf("graphite %+v", g)] = func() metrics.Output {
			return metrics.NewGraphite(metrics.GraphiteOptions{Address: g.Addr, Prefix: g.Prefix, Pickle: g.Form == "pickle",
				Confirm: g.Confirm == "close", Patience: g.Patience})
		}
	}
	for _, c := range f.Collectd {
		all[fmt.Sprintf("collectd %+v", c)] = func() metrics.Output {
			if c.Socket != "" {
				return metrics.NewCollectd(c.Socket, c.Patience)
			}
			security := map[string]metrics.Security{"none": metrics.None, "sign": metrics.Sign, "encrypt": metrics.Encrypt}[c.Security]
			return metrics.NewNetwork(metrics.NetworkOptions{Address: c.Addr, Security: security, Username: c.Username, Password: c.Password})
		}
	}
	return all
}

// report logs what a goroutine of its own has met.
func (b *books) report(what string) func(error) {
	return func(err error) { b.p.log.Warn("telemetry: "+what, zap.Error(err)) }
}

// install puts outputs and log in force. A receiver that is new gets what one that has gone had not got, if there is one of
// its kind: it has moved.
func (b *books) install(r *rebooked) {
	for key, o := range r.outputs {
		if b.outputs[key] != nil {
			continue
		}
		moved := false
		for oldKey, old := range b.outputs {
			if r.outputs[oldKey] == nil && old.Kind() == o.Kind() {
				b.feed.Replace(old, o)
				delete(b.outputs, oldKey)
				moved = true
				break
			}
		}
		if !moved {
			b.feed.Attach(o)
		}
	}
	for key, old := range b.outputs {
		if r.outputs[key] == nil {
			b.feed.Remove(old)
		}
	}
	b.outputs = r.outputs
	switch {
	case r.log != nil:
		b.drop(b.log)
		b.log = r.log
	case r.file.RequestLog == nil:
		b.drop(b.log)
		b.log = nil
	}
	b.file = r.file
}

// drop closes a log off the loop.
func (b *books) drop(l *requestlog.Log) {
	if l != nil {
		go l.Close()
	}
}

// take puts a reload in force and names what needs a restart.
func (b *books) take(r *rebooked) (restart []string) {
	if b == nil {
		if r.file.RequestLog != nil || len(r.file.Graphite)+len(r.file.Collectd) > 0 {
			restart = append(restart, "operator's file: there was none of it at the start")
		}
		return restart
	}
	was := b.file.Telemetry
	now := r.file.Telemetry
	b.install(r)
	if was.Every != now.Every {
		b.feed.SetEvery(now.Every)
	}
	for name, same := range map[string]bool{"telemetry.spool_dir": was.SpoolDir == now.SpoolDir, "telemetry.spool_bytes": was.SpoolBytes == now.SpoolBytes,
		"telemetry.memory_bytes": was.MemoryBytes == now.MemoryBytes, "telemetry.node_series": *was.NodeSeries == *now.NodeSeries} {
		if !same {
			restart = append(restart, name)
		}
	}
	// What needs a restart stays as it runs, so that the next reload names it again.
	kept := *r.file
	kept.Telemetry, kept.Telemetry.Every = was, now.Every
	b.file = &kept
	return restart
}

// begin starts to close periods, from where earlier lives have ended.
func (b *books) begin() {
	if !b.delivers() {
		return
	}
	if b.file.Telemetry.SpoolDir == "" {
		b.feed.Start()
		return
	}
	b.open(func(found *spool.Found) { b.feed.Recall(found) })
}

// open opens the spool, off the loop, and has what it holds taken before the feed starts. One that cannot be used is told,
// and costs what it is for alone.
func (b *books) open(take func(*spool.Found)) {
	t := b.file.Telemetry
	go func() {
		s, found, err := spool.Open(t.SpoolDir, filepath.Base(b.p.config.Name+"-"+b.p.config.Listen), t.SpoolBytes, b.report("spool"))
		b.p.loop.Post(func() {
			if err != nil {
				b.p.log.Error("telemetry: no spool, totals do not outlive this process", zap.Error(err))
				found = &spool.Found{}
			} else {
				b.p.log.Info("telemetry: spool", zap.Int("periods", len(found.Periods)), zap.Int("torn_files", found.Torn), zap.Int("strange_files", found.Strange))
				b.spool = s
				b.feed.Keep(s)
			}
			take(found)
			b.feed.Start()
		})
	}()
}

// finished closes the last period and gives receivers a moment to get it; true once they have it or the moment is over.
func (b *books) finished() bool {
	if b == nil || !b.feed.On() {
		return true
	}
	now := b.p.loop.Now()
	if b.limit == 0 {
		b.limit = now + lastTime
		b.feed.CloseNow()
	}
	return now >= b.limit || b.feed.Delivered()
}

// close writes what waits to the disk. A disk that hangs is not waited for.
func (b *books) close() {
	if b == nil {
		return
	}
	done := make(chan struct{})
	go func() {
		if b.log != nil {
			b.log.Close()
		}
		if b.spool != nil {
			b.spool.Close()
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(closeTime):
		b.p.log.Error("telemetry: the disk hangs, not waited for")
	}
}

// ---- two processes of one dispatcher ----

// tally is what one process tells the next of what it has counted.
type tally struct {
	All     bool               `json:"all"` // the first word: totals, and what goes with them; else what was counted since the last
	Counts  map[string]float64 `json:"counts"`
	Spans   telemetry.Spans    `json:"spans,omitempty"`
	Held    []telemetry.Held   `json:"held,omitempty"`
	Last    int64              `json:"last,omitempty"` // stamp of the last period
	Series  []telemetry.Series `json:"series,omitempty"`
	Periods []handed           `json:"periods,omitempty"`
}

// handed is a period that some receiver has not got.
type handed struct {
	Stamp int64   `json:"stamp"`
	Every float64 `json:"every"`
	Body  []byte  `json:"body"`
}

// bequeath makes the next process the one writer: it gets the totals, and from then on what is counted here.
func (b *books) bequeath(l *handover.Link) {
	if !b.delivers() {
		return
	}
	b.feed.Stop()
	b.given, b.told = l, false
	s := b.spool
	b.spool = nil
	b.feed.Keep(nil)
	go func() {
		if s != nil {
			s.Close()
		}
		b.p.loop.Post(func() {
			if b.given == l {
				b.tellAll(s != nil)
			}
		})
	}()
}

func (b *books) tellAll(onDisk bool) {
	t := tally{All: true, Counts: b.set.Totals(), Held: b.set.Held(), Last: b.feed.Last()}
	_, t.Spans = b.set.Delta()
	if !onDisk {
		t.Series = b.set.Table().From(0)
		periods, size := b.feed.Ring().All(), 0
		first := len(periods)
		for ; first > 0; first-- {
			if size += len(periods[first-1].Body); size > handPeriods || periods[first-1].Table != b.set.Table() {
				break
			}
		}
		for _, p := range periods[first:] {
			t.Periods = append(t.Periods, handed{p.Stamp, p.Every, p.Body})
		}
	}
	b.tell(t)
	b.told = true
	b.handOn()
}

func (b *books) tell(t tally) {
	if err := b.given.Tell(handover.Figures, t); err != nil {
		b.p.log.Error("telemetry: totals not handed on", zap.Error(err))
	}
}

// handOn tells the next process what was counted since the last word.
func (b *books) handOn() {
	if b.hand.Stop(); b.given == nil || !b.told {
		return
	}
	if counts, spans := b.set.Delta(); len(counts) > 0 || len(spans) > 0 {
		b.tell(tally{Counts: counts, Spans: spans})
	}
	b.hand = b.p.loop.At(b.p.loop.Now()+handEvery, b.handOn)
}

// handedOn tells the last of it, before this process ends; true once it is told.
func (b *books) handedOn() bool {
	if b == nil || b.given == nil {
		return true
	}
	if b.told {
		b.handOn()
	}
	return b.told
}

// resume is the one writer again: the next process has gone.
func (b *books) resume() {
	if b == nil || b.given == nil {
		return
	}
	b.given = nil
	b.hand.Stop()
	if b.file.Telemetry.SpoolDir == "" {
		b.feed.Start()
		return
	}
	b.open(func(*spool.Found) {})
}

// expect waits for the totals of the process before this one, if it has any.
func (b *books) expect(figures bool) {
	if b == nil {
		return
	}
	if b.expected = figures && b.delivers(); !b.expected {
		b.begin()
	}
}

// orphan goes on alone: the process before this one has gone, perhaps without its totals.
func (b *books) orphan() {
	if b != nil && b.expected {
		b.expected = false
		b.begin()
	}
}

// hear takes what the process before this one tells.
func (b *books) hear(body []byte) error {
	var t tally
	if err := json.Unmarshal(body, &t); err != nil {
		return fmt.Errorf("program: figures: %w", err)
	}
	if !b.delivers() {
		return errors.New("program: figures that nobody wants")
	}
	if t.All != b.expected {
		return errors.New("program: figures out of turn")
	}
	b.set.Add(t.Counts)
	b.set.Merge(t.Spans)
	if !t.All {
		return nil
	}
	b.expected = false
	b.set.Remember(t.Held)
	start := func(found *spool.Found) {
		table := &telemetry.Table{}
		table.Append(t.Series...)
		for _, h := range t.Periods {
			found.Periods = append(found.Periods, &telemetry.Period{Stamp: h.Stamp, Every: h.Every, Table: table, Body: h.Body})
		}
		found.Totals = nil // they are in what was told, and some more
		b.feed.Recall(found)
		b.feed.After(t.Last)
	}
	if b.file.Telemetry.SpoolDir == "" {
		start(&spool.Found{})
		b.feed.Start()
		return nil
	}
	b.open(start)
	return nil
}

// addBooks adds the figures of the figures themselves.
func addBooks(p *Program, set *telemetry.Set) {
	a := adder{set}
	a.counter("telemetry.periods", "periods", "Periods closed.", func() uint64 { return p.books.feed.Periods })
	a.gauge("telemetry.periods_held", "periods", "Periods that wait for a receiver.", func() float64 {
		n, _ := p.books.feed.Ring().Held()
		return float64(n)
	})
	a.counter("telemetry.periods_dropped", "periods", "Periods that had to go before every receiver had them: their points are missing, totals go on.",
		func() uint64 { return p.books.feed.Ring().Dropped })
	for _, kind := range []string{"graphite", "collectd"} {
		of := map[string]string{"graphite": "Graphite receivers", "collectd": "collectds"}[kind]
		for _, f := range []struct {
			name, unit, help string
			get              func(metrics.State) uint64
		}{{"periods", "periods", "Periods that " + of + " have got.", func(s metrics.State) uint64 { return s.Periods }},
			{"points", "points", "Points sent to " + of + ", some again after a break.", func(s metrics.State) uint64 { return s.Points }},
			{"breaks", "tries", "Tries to deliver to " + of + " that came to nothing.", func(s metrics.State) uint64 { return s.Breaks }},
			{"refused", "points", "Points that " + of + " would not have.", func(s metrics.State) uint64 { return s.Refused }}} {
			a.counter("telemetry."+kind+"."+f.name, f.unit, f.help, func() uint64 { return f.get(p.books.feed.Total(kind)) })
		}
	}
	disk := func(name, unit, help string, has func() bool, get func() uint64) {
		set.Read(telemetry.Doc{Pattern: name, Kind: telemetry.Counter, Unit: unit, Help: help}, func() float64 {
			if !has() {
				return math.NaN()
			}
			return float64(get())
		})
	}
	spooled := func() bool { return p.books.spool != nil }
	disk("telemetry.spool_failed", "records", "Records that the disk refused. None without a spool.", spooled, func() uint64 { return p.books.spool.Failed() })
	disk("telemetry.spool_lost", "records", "Records that the disk was too slow for. None without a spool.", spooled, func() uint64 { return p.books.spool.Lost() })
	logged := func() bool { return p.books.log != nil }
	disk("request_log.lines", "lines", "Lines written to the request log. None without one.", logged, func() uint64 { return p.books.log.Lines })
	disk("request_log.lost", "lines", "Lines that the disk was too slow for. None without a request log.", logged, func() uint64 { return p.books.log.Lost() })
	disk("request_log.failed", "lines", "Lines that the disk refused. None without a request log.", logged, func() uint64 { return p.books.log.Failed() })
}
