package server

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"math"
	"os"
	"path/filepath"
	"strings"

	"go.uber.org/zap"

	"cinderroad/internal/dispatcher/admin"
	"cinderroad/internal/dispatcher/dispatch"
)

// calls are what the staff can ask for at the second address.
func (p *Server) calls() map[string]admin.Call {
	return map[string]admin.Call{
		"/api/ready":            {Method: "GET", Handle: func(_ string, reply admin.Reply) { p.ready(reply) }},
		"/api/fleet":            {Method: "GET", Handle: func(_ string, reply admin.Reply) { p.showFleet(reply) }},
		"/api/fleet/gone":       {Method: "PUT", TakesMember: true, Handle: p.goneFromFleet},
		"/api/fleet/shut-out":   {Method: "PUT", TakesMember: true, Handle: p.orderFleet(true)},
		"/api/fleet/bring-back": {Method: "PUT", TakesMember: true, Handle: p.orderFleet(false)},
		"/api/exclude":          {Method: "PUT", TakesMember: true, Handle: p.exclude},
		"/api/include":          {Method: "PUT", TakesMember: true, Handle: p.include},
		"/api/evacuate":         {Method: "PUT", Handle: func(_ string, reply admin.Reply) { p.order(order{What: "evacuate"}, reply) }},
		"/api/rejoin":           {Method: "PUT", Handle: func(_ string, reply admin.Reply) { p.order(order{What: "rejoin"}, reply) }},
	}
}

// ready says whether this process takes clients, as far as it is up to the process: one that was evacuated by hand
// could.
func (p *Server) ready(reply admin.Reply) {
	switch {
	case !p.serving:
		reply(503, "starting")
		return
	case p.stopping:
		reply(503, "stopping")
		return
	case p.upgrade.left():
		reply(503, "the next process takes the clients")
		return
	}
	reply(200, "ready")
}

// evacuate empties the dispatcher from a time on, or has it take clients again.
func (p *Server) evacuate(on bool, began float64) {
	p.front.Evacuate(on, began)
	if p.gearman != nil {
		p.gearman.Evacuate(on)
	}
}

// order is what the staff ask for, as it also goes to the dispatcher's other process.
type order struct {
	What      string             `json:"what"` // evacuate, rejoin, exclude or include
	Member    string             `json:"member,omitempty"`
	Exclusion dispatch.Exclusion `json:"exclusion"`
}

func (p *Server) exclude(member string, reply admin.Reply) {
	p.change("exclude", member, p.core.Exclude(member), reply)
}

func (p *Server) include(member string, reply admin.Reply) {
	p.change("include", member, p.core.Include(member), reply)
}

// change carries out a change of who is out.
func (p *Server) change(what, member string, ch dispatch.ExclusionChange, reply admin.Reply) {
	switch {
	case !ch.Known && p.serving:
		reply(404, "nobody has member "+member)
	case ch.LimitReached:
		reply(507, "too many members are out")
	default:
		p.order(order{What: what, Member: member, Exclusion: ch.Exclusions[member]}, reply)
	}
}

// order carries an order out, here and in the other process, and says yes once both have.
func (p *Server) order(o order, reply admin.Reply) {
	if !p.serving { // what the process before has been told is on its way
		reply(503, "starting")
		return
	}
	if err := p.obey(o); err != nil {
		p.log.Error("program: order not carried out", zap.String("what", o.What), zap.Error(err))
		reply(500, err.Error())
		return
	}
	p.upgrade.order(o, nil, func() { reply(200, "done") })
}

// obey carries an order out in this process. Who is out is kept first: a yes must outlive it.
func (p *Server) obey(o order) error {
	p.log.Info("program: "+o.What, zap.String("member", o.Member))
	switch o.What {
	case "evacuate", "rejoin":
		p.evacuate(o.What == "evacuate", p.loop.Now())
		return nil
	}
	out := p.core.Exclusions()
	if o.Exclusion != (dispatch.Exclusion{}) { // else it was not out, and need not be called back
		out[o.Member] = o.Exclusion
	}
	if err := p.keep(out); err != nil {
		return err
	}
	p.core.ApplyExclusions(out)
	return nil
}

// kept is the form in which exclusions are kept.
type kept struct {
	Version int                           `json:"version"`
	Out     map[string]dispatch.Exclusion `json:"out"`
}

const (
	keptVersion = 1
	mostKept    = 1 << 20 // bytes
	mostName    = 60      // of a file: the system takes few for a socket
)

// file is the path of a file of this dispatcher's own in $TMPDIR; empty without one.
func (c *Config) file(kind string) string {
	if c.tmp == "" {
		return ""
	}
	name := strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' {
			return r
		}
		return '_'
	}, cmp.Or(c.Name, "cinderroad")+"-"+c.Listen)
	name = name[:min(len(name), mostName)]
	return filepath.Join(c.tmp, name+kind)
}

// keep writes the exclusions to disk, all or nothing.
func (p *Server) keep(out map[string]dispatch.Exclusion) error {
	path := p.config.file(".exclusions")
	if path == "" {
		return nil // nowhere to keep them: they last as long as the process
	}
	text, err := json.Marshal(kept{keptVersion, out})
	if err != nil {
		return fmt.Errorf("program: %w", err)
	}
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return fmt.Errorf("program: %w", err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		return fmt.Errorf("program: %w", err)
	}
	return nil
}

// restore puts in force what an earlier process kept.
func (p *Server) restore() {
	path := p.config.file(".exclusions")
	if path == "" {
		return
	}
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	var k kept
	if err == nil {
		k, err = parseKept(text)
	}
	if err != nil {
		p.log.Error("program: kept exclusions make no sense, none taken", zap.String("file", path), zap.Error(err))
		return
	}
	p.core.ApplyExclusions(k.Out)
	p.log.Info("program: exclusions restored", zap.Int("members", len(k.Out)))
}

func parseKept(text []byte) (k kept, err error) {
	if len(text) > mostKept {
		return k, errors.New("program: exclusions: too long")
	}
	if err := json.Unmarshal(text, &k); err != nil {
		return k, fmt.Errorf("program: exclusions: %w", err)
	}
	if k.Version != keptVersion {
		return k, fmt.Errorf("program: exclusions: version %d", k.Version)
	}
	for name, x := range k.Out {
		if name == "" || !(x.ExcludedAt > 0) || x.StartedAt < 0 || x.IncludedAt < 0 || math.IsInf(x.ExcludedAt+x.StartedAt+x.IncludedAt, 0) {
			return k, fmt.Errorf("program: exclusions: bad entry %q", name)
		}
	}
	return k, nil
}
