package program

import (
	"encoding/json"
	"fmt"
	"math"
	"net/netip"
	"runtime/debug"
	"sync"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"cinderroad/brain"
	"cinderroad/internal/console"
	"cinderroad/internal/fleet"
	"cinderroad/internal/fleet/divisor"
	"cinderroad/internal/fleet/lease"
	"cinderroad/internal/fleet/ledger"
	"cinderroad/internal/fleet/membership"
	"cinderroad/internal/fleet/versions"
	"cinderroad/internal/protocol/platform"
	"cinderroad/internal/routing"
	"cinderroad/internal/telemetry"
	"cinderroad/internal/transport"
)

// factsEvery is how often what is told of this dispatcher is looked at, in seconds.
const factsEvery = 0.1

// version is the program's, short: what the fleet shows of each member.
var version = sync.OnceValue(func() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	version := info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" && len(s.Value) >= 12 {
			version = s.Value[:12]
		}
	}
	return version[:min(len(version), 40)]
})

// fleetOptions are what the files say of the fleet; nil is none.
func (c *Config) fleetOptions() (*fleet.Options, error) {
	f := c.Operator.Fleet
	if f == nil {
		return nil, nil
	}
	if c.Name == "" || len(c.Name) > membership.MostName {
		return nil, fmt.Errorf("config: name: %q: a member of a fleet needs one of 1 to %d bytes", c.Name, membership.MostName)
	}
	zone := ""
	if z := c.brain.Zone; z < len(c.names.FailureDomains) {
		zone = c.names.FailureDomains[z]
	}
	return &fleet.Options{Fleet: f.Name, Name: c.Name, Bind: f.BindAddr, Advertise: f.AdvertiseAddr, Seeds: f.SeedAddrs,
		Period: f.Period, Forget: f.Forget, Lease: f.Lease, Seed: c.seed, Facts: membership.Facts{Zone: zone[:min(len(zone), 48)], Version: version(), Console: c.Console,
			Settings: hash(common(c.Settings)), Operator: hash([]byte(c.Operator.Common()))},
		Rules: divisor.Rules{Instances: c.brain.Instances, Me: c.brain.Me, Period: f.Period, LastSends: c.brain.FallTime, Whole: *f.Whole}}, nil
}

// startFleet has this dispatcher be a member, where the operator's file says so.
func (p *Program) startFleet() error {
	o, err := p.config.fleetOptions()
	if err != nil || o == nil {
		return err
	}
	socket, err := fleet.Bind(p.loop, o.Bind)
	if err != nil {
		return err
	}
	book, err := p.openLedger(p.config.Operator)
	if err != nil {
		return err
	}
	p.joinFleet(o, socket, book)
	return nil
}

func (p *Program) joinFleet(o *fleet.Options, socket *transport.Socket, book *ledger.Book) {
	p.keepVersions()
	o.Board, o.Slept, o.Leased, o.Settled = p.board, p.slept, p.leased, p.settled
	o.Facts.Serving, o.Facts.OperatorAt = p.standing(), uint32(p.loop.Now())
	p.facts = o.Facts
	p.keepLedger(book, p.config.Operator)
	p.fleet = fleet.Start(p.loop, p.log, *o, socket, p.setPlace)
	if !p.factsOn {
		p.factsOn = true
		p.tellFacts()
	}
}

// common is what settings say but for the member's own place, so that members that are set alike show it.
func common(settings json.RawMessage) []byte {
	var all map[string]json.RawMessage
	if json.Unmarshal(settings, &all) != nil {
		return settings
	}
	delete(all, "me")
	delete(all, "zone")
	out, err := json.Marshal(all)
	if err != nil {
		return settings
	}
	return canonical(out)
}

// hash is a short mark of a text.
func hash(text []byte) string { return fmt.Sprintf("%08x", uint32(xxhash.Sum64(text))) }

// keepVersions has what discovery tells kept for the fleet, from the list held now on.
func (p *Program) keepVersions() {
	if p.board != nil {
		return
	}
	b := versions.New(p.config.Name)
	p.board = b
	b.Log = func(line string) { p.log.Warn("versions: " + line) }
	b.Changed = p.withhold
	b.Note = p.noted
	b.Ordering = func(o versions.Order) {
		p.record(ledger.Entry{What: ledger.Order, From: o.By, Member: o.Member, Out: o.Out})
		p.loop.Later(func() {
			if p.fleet != nil {
				p.fleet.Judge()
			}
		})
	}
	tell := func(addr netip.AddrPort, rev int64, cached bool, changed []platform.Target) {
		entries := make([]versions.Entry, 0, len(changed))
		for _, t := range changed {
			entries = append(entries, versions.Entry{Worker: t.UID, State: states[t.State], Start: int64(max(t.BootMs, 0))})
		}
		b.Own(p.loop.Now(), p.source(addr), rev, cached, entries)
		if p.fleet != nil {
			p.fleet.Urge()
		}
	}
	if addr, list := p.director.Held(); list.Rev > 0 {
		tell(addr, list.Rev, true, list.Targets)
	}
	p.director.Listed = tell
	p.director.Heard = func() {
		b.Live(p.loop.Now())
		p.looked()
	}
	b.Heard = p.looked
}

// dropVersions has nothing withheld any more: the own list alone says.
func (p *Program) dropVersions() {
	p.board, p.director.Listed, p.director.Heard = nil, nil, nil
	p.core.Withhold(nil)
	p.wake()
	p.pause()
}

const (
	wakeLeast = 0.05 // seconds after waking for which what comes may have waited in a buffer since before the sleep
	wakeMost  = 1.0  // and after which jobs are refused rather than have wait, until somebody speaks
)

// slept has a process that stood still send nothing by what it knew before: director, then peers, then sends.
func (p *Program) slept(late float64) {
	if !p.serving {
		return
	}
	p.woke = p.loop.Now()
	p.record(ledger.Entry{What: ledger.Slept, Late: late})
	p.board.Forget(p.woke)
	p.pause()
	p.waking.Stop()
	p.waking = p.loop.At(p.woke+wakeMost, func() {
		if p.fleet == nil || !p.fleet.Met() { // nobody will
			p.wake()
			return
		}
		p.dazed = true
		p.pause()
		// Whoever slept alone is heard from by then: if not, the lease has the say.
		p.waking = p.loop.At(p.woke+p.fleet.Lease(), p.wake)
	})
}

// pause has nothing new sent while this dispatcher looks again or is out of its lease, and new jobs refused where that
// takes longer than jobs may wait. What is out ends as it would.
func (p *Program) pause() {
	p.core.Pause(p.woke > 0 || p.unleased())
	shut := p.dazed || p.unleased()
	p.front.Shut(shut)
	if p.gearman != nil {
		p.gearman.Shut(shut)
	}
}

// unleased says whether this dispatcher is out of its lease.
func (p *Program) unleased() bool { return p.board != nil && p.board.Lease.State() == lease.Out }

// leased has new jobs refused while this dispatcher is out of its lease.
func (p *Program) leased(out bool, why string) {
	p.log.Warn("program: lease", zap.Bool("out", out), zap.String("why", why))
	p.record(ledger.Entry{What: ledger.Lease, Out: out, Why: why})
	p.pause()
}

// looked tells that the director or a peer has spoken. What it says is in force before anything is sent.
func (p *Program) looked() {
	if p.woke > 0 && p.loop.Now() >= p.woke+wakeLeast {
		p.loop.Later(p.wake)
	}
}

// wake has a process that slept send again.
func (p *Program) wake() {
	if p.woke > 0 {
		p.waking.Stop()
		p.log.Info("program: looked again after a sleep", zap.Float64("after_s", p.loop.Now()-p.woke))
		p.woke, p.dazed = 0, false
		p.record(ledger.Entry{What: ledger.Looked})
		p.pause()
	}
}

// states are the list's, for the fleet; what is not known there is not told as ready.
var states = map[string]versions.State{"ready": versions.Ready, "draining": versions.Draining, "gone": versions.Gone}

// source is what the fleet calls a discovery.
func (p *Program) source(addr netip.AddrPort) string {
	if f := p.config.Operator.Fleet; f != nil && f.Discovery != "" {
		return f.Discovery
	}
	return addr.String()
}

// withhold has the core take workers for what peers know of them.
func (p *Program) withhold() {
	held := map[string]routing.Held{}
	for worker, h := range p.board.Held() {
		state := brain.Ready
		if h.State != versions.Ready {
			state = brain.Draining
		}
		held[worker] = routing.Held{State: state, Since: float64(h.Start) / 1000}
		p.log.Info("versions: withheld on a peer's word", zap.String("worker", worker), zap.Stringer("state", h.State), zap.Int64("rev", h.Rev), zap.String("from", h.From))
	}
	if len(held) == 0 {
		p.log.Info("versions: nothing is withheld any more")
	}
	p.core.Withhold(held)
}

// setPlace has all who count the dispatchers know their number.
func (p *Program) setPlace(place divisor.Place) {
	if err := p.core.SetPlace(brain.Place{Instances: place.Instances, Me: place.Me, Part: place.Part, Keys: place.Keys}); err != nil {
		p.log.Error("program: place not taken", zap.Error(err))
		return
	}
	p.director.Fleet = place.Instances
}

// standing is how this dispatcher serves, for the others to see.
func (p *Program) standing() string {
	switch {
	case p.stopping || p.upgrade != nil && p.upgrade.left():
		return "stopping"
	case !p.serving:
		return "starting"
	case p.front.Leaving() > 0:
		return "evacuated"
	case p.unleased():
		return "out of lease"
	}
	return "serving"
}

// tellFacts has the fleet know how this dispatcher serves. One that is evacuated leaves once it has nothing out any more,
// and joins again when it is called back.
func (p *Program) tellFacts() {
	if p.fleet == nil {
		p.factsOn = false
		return
	}
	p.facts.Serving = p.standing()
	if out := p.excluded(); out != p.facts.Excluded {
		p.facts.Excluded, p.facts.ExcludedAt = out, uint32(p.loop.Now())
		p.record(ledger.Entry{What: ledger.Excluded, Digest: out, Members: len(p.core.Exclusions())})
	}
	p.fleet.SetFacts(p.facts)
	p.tendLedger()
	if out := p.core.Counts(); p.front.Leaving() > 0 && out.OpenReqs == 0 && out.OpenFetches == 0 {
		if !p.fleetLeft {
			p.fleetLeft = true
			p.fleet.Leave()
		}
	} else if p.fleetLeft && p.front.Leaving() == 0 {
		p.fleetLeft = false
		p.fleet.Rejoin()
	}
	p.loop.At(p.loop.Now()+factsEvery, p.tellFacts)
}

// leaveFleet says that this dispatcher has stopped: it is called when nothing is out any more.
func (p *Program) leaveFleet() {
	if p.fleet != nil {
		p.fleet.Close()
		p.fleet = nil
	}
}

// yieldFleet leaves the name to the process that takes this one's place; resumeFleet takes it back.
func (p *Program) yieldFleet() {
	if p.fleet != nil {
		p.fleet.Yield()
	}
}

func (p *Program) resumeFleet() {
	if p.fleet != nil {
		p.fleet.Resume()
	}
}

// refleeted is what a reload would change of the fleet.
type refleeted struct {
	options *fleet.Options
	socket  *transport.Socket // a new address'
	book    *ledger.Book      // a new ledger
}

// prepareFleet checks what a reload says of the fleet and opens an address that is new; nothing changes before takeFleet.
func (p *Program) prepareFleet(next *Config) (*refleeted, error) {
	running := *next
	running.Name, running.brain = p.config.Name, p.config.brain // what needs a restart
	o, err := running.fleetOptions()
	if err != nil || o == nil {
		return &refleeted{}, err
	}
	r := &refleeted{options: o}
	if r.book, err = p.openLedger(next.Operator); err != nil {
		return nil, err
	}
	if p.fleet == nil || !p.fleet.SameBind(o) {
		if r.socket, err = fleet.Bind(p.loop, o.Bind); err != nil {
			r.drop()
			return nil, err
		}
	}
	return r, nil
}

// drop closes what was opened for a reload that is refused.
func (r *refleeted) drop() {
	if r != nil && r.socket != nil {
		r.socket.Close()
	}
	if r != nil && r.book != nil {
		r.book.Close()
	}
}

// takeFleet carries a reload's change out: the fleet is joined, left, or joined anew.
func (p *Program) takeFleet(r *refleeted) {
	o := r.options
	switch {
	case p.upgrade.left(): // the name is the next process's, which reads the files itself
		r.drop()
	case o == nil && p.fleet == nil:
	case o == nil:
		p.leaveFleet()
		p.closeLedger(true)
		p.dropVersions()
		p.setPlace(divisor.Place{Instances: p.config.brain.Instances, Me: p.config.brain.Me, Part: 1})
		p.log.Info("program: fleet switched off; places are as configured")
	case p.fleet == nil:
		p.joinFleet(o, r.socket, r.book)
	case p.fleet.Same(o):
		p.fleet.Change(*o)
		other := o.Facts.Settings != p.facts.Settings || o.Facts.Operator != p.facts.Operator
		o.Facts.Excluded, o.Facts.ExcludedAt = p.facts.Excluded, p.facts.ExcludedAt
		if o.Facts.OperatorAt = uint32(p.loop.Now()); o.Facts.Operator == p.facts.Operator {
			o.Facts.OperatorAt = p.facts.OperatorAt
		}
		p.facts = o.Facts
		p.keepLedger(r.book, p.config.Operator)
		if other {
			p.record(ledger.Entry{What: ledger.Settings, Settings: o.Facts.Settings, Operator: o.Facts.Operator})
		}
	default:
		socket := p.fleet.Release()
		if !p.fleet.SameBind(o) {
			if socket != nil {
				socket.Close()
			}
			socket = r.socket
		}
		p.joinFleet(o, socket, r.book)
	}
}

// showFleet answers GET /api/fleet.
func (p *Program) showFleet(reply console.Reply) {
	if p.fleet == nil {
		reply(404, "no [fleet] in the operator's file")
		return
	}
	text, err := json.Marshal(p.fleet.Status())
	if err != nil {
		reply(500, err.Error())
		return
	}
	reply(200, string(text))
}

// goneFromFleet has a member that is dead count as one that has left.
func (p *Program) goneFromFleet(member string, reply console.Reply) {
	if p.fleet == nil {
		reply(404, "no [fleet] in the operator's file")
		return
	}
	if err := p.fleet.Declare(member); err != nil {
		reply(409, err.Error())
		return
	}
	p.log.Info("program: a member was declared gone", zap.String("member", member))
	reply(200, "done")
}

// orderFleet shuts a member out, or brings it back, wherever it is.
func (p *Program) orderFleet(out bool) func(member string, reply console.Reply) {
	return func(member string, reply console.Reply) {
		if p.fleet == nil {
			reply(404, "no [fleet] in the operator's file")
			return
		}
		if err := p.fleet.Order(member, out); err != nil {
			reply(409, err.Error())
			return
		}
		p.log.Info("program: order", zap.String("member", member), zap.Bool("out", out))
		reply(200, "done")
	}
}

// addFleet adds the figures of the fleet; none are told while the section is off.
func addFleet(a adder, p *Program) {
	read := func(kind telemetry.Kind, name, unit, help string, get func(f *fleet.Fleet) float64) {
		a.set.Read(telemetry.Doc{Pattern: "fleet." + name, Kind: kind, Unit: unit, Help: help + " None without a fleet."}, func() float64 {
			if p.fleet == nil {
				return math.NaN()
			}
			return get(p.fleet)
		})
	}
	gauge := func(name, unit, help string, get func(f *fleet.Fleet) float64) {
		read(telemetry.Gauge, name, unit, help, get)
	}
	counter := func(name, unit, help string, get func(f *fleet.Fleet) uint64) {
		past, last := 0.0, 0.0 // a member that joins anew counts from 0
		read(telemetry.Counter, name, unit, help, func(f *fleet.Fleet) float64 {
			v := float64(get(f))
			if v < last {
				past += last
			}
			last = v
			return past + v
		})
	}
	gauge("members_alive", "members", "Members held alive, this one among them.", func(f *fleet.Fleet) float64 { n, _, _ := f.Census(); return float64(n) })
	gauge("members_suspect", "members", "Members under suspicion.", func(f *fleet.Fleet) float64 { _, n, _ := f.Census(); return float64(n) })
	gauge("members_dead", "members", "Members held dead and not forgotten yet.", func(f *fleet.Fleet) float64 { _, _, n := f.Census(); return float64(n) })
	gauge("instances", "members", "Dispatchers among whom cold workers are shared.", func(f *fleet.Fleet) float64 { return float64(f.Place().Instances) })
	gauge("part", "", "Part of its share of cold workers that this one takes; below 1 while others may not count it.", func(f *fleet.Fleet) float64 { return f.Place().Part })
	gauge("settle_s", "s", "How long the view took to settle the last time.", (*fleet.Fleet).LastSettling)
	counter("suspicions", "suspicions", "Members that came under suspicion.", func(f *fleet.Fleet) uint64 { return f.Counts().Suspicions })
	counter("suspicions_refuted", "suspicions", "Suspicions that were taken back.", func(f *fleet.Fleet) uint64 { return f.Counts().Refuted })
	counter("suspected", "suspicions", "Suspicions of this member that it answered.", func(f *fleet.Fleet) uint64 { return f.Counts().SelfRefuted })
	counter("deaths", "members", "Members found dead.", func(f *fleet.Fleet) uint64 { return f.Counts().Deaths })
	counter("probes", "questions", "Members asked whether they are there.", func(f *fleet.Fleet) uint64 { return f.Counts().Probes })
	counter("probes_unanswered", "questions", "Those that ended without an answer.", func(f *fleet.Fleet) uint64 { return f.Counts().Unanswered })
	counter("slept", "", "Times that this process stood still.", func(f *fleet.Fleet) uint64 { return f.Counts().Slept })
	counter("name_claims", "", "Times that another process was found under this name.", func(f *fleet.Fleet) uint64 { return f.Counts().Claims })
	gauge("list_behind", "versions", "Versions that the own list is behind the newest that a member says it has; none compares: 0.", func(*fleet.Fleet) float64 { return float64(p.board.BehindBy()) })
	gauge("out_of_lease", "", "1 while this member is out of its lease and takes no new work.", func(f *fleet.Fleet) float64 { return oneIf(p.unleased()) })
	gauge("word_age_s", "s", "Since a word of discovery last confirmed what is known here; -1: never.", func(f *fleet.Fleet) float64 { return f.WordAge() })
	gauge("workers_withheld", "nodes", "Workers that get less than the own list says, on peers' words.", func(*fleet.Fleet) float64 { return float64(p.core.Withheld()) })
	counter("facts_taken", "facts", "What peers told of workers that the own list was too old to know.", func(*fleet.Fleet) uint64 { return p.board.Counts.Taken })
	counter("facts_doubted", "facts", "Of it, what the own discovery did not tell in time: taken back.", func(*fleet.Fleet) uint64 { return p.board.Counts.Doubted })
	counter("rides_bad", "", "What came along with members' messages and made no sense.", func(*fleet.Fleet) uint64 { return p.board.Counts.Bad })
	counter("datagrams_sent", "datagrams", "Datagrams sent.", func(f *fleet.Fleet) uint64 { return f.Sent })
	counter("datagrams_received", "datagrams", "Datagrams that came.", func(f *fleet.Fleet) uint64 { return f.Received })
	counter("datagrams_unsent", "datagrams", "Datagrams that the system did not take.", func(f *fleet.Fleet) uint64 { return f.Unsent })
	counter("bytes_sent", "bytes", "Bytes of the datagrams sent.", func(f *fleet.Fleet) uint64 { return f.BytesSent })
	for i, name := range fleet.DropNames {
		counter("dropped_"+name, "datagrams", "Datagrams dropped: "+name+".", func(f *fleet.Fleet) uint64 { return f.Drops[i] })
	}
	counter("dropped_repeated", "datagrams", "Datagrams dropped: heard before.", func(f *fleet.Fleet) uint64 { return f.Counts().Repeated })
	counter("dropped_no_room", "names", "Names not taken in, since 4,096 are known.", func(f *fleet.Fleet) uint64 { return f.Counts().NoRoom })
	counter("dropped_stale", "datagrams", "Datagrams dropped: of an earlier life.", func(f *fleet.Fleet) uint64 { return f.Counts().Stale })
}
