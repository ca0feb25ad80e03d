package program

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

	"cinderroad/internal/console"
	"cinderroad/internal/routing"
)

// calls are what the staff can ask for at the second address.
func (p *Program) calls() map[string]console.Call {
	return map[string]console.Call{
		"/api/ready":    {Method: "GET", Do: func(_ string, reply console.Reply) { p.ready(reply) }},
		"/api/exclude":  {Method: "PUT", Member: true, Do: p.exclude},
		"/api/include":  {Method: "PUT", Member: true, Do: p.include},
		"/api/evacuate": {Method: "PUT", Do: func(_ string, reply console.Reply) { p.evacuate(true); reply(200, "evacuating") }},
		"/api/rejoin":   {Method: "PUT", Do: func(_ string, reply console.Reply) { p.evacuate(false); reply(200, "taking clients") }},
	}
}

// ready says whether this process takes clients, as far as it is up to the process: one that was evacuated by hand
// could.
func (p *Program) ready(reply console.Reply) {
	if p.stopping {
		reply(503, "stopping")
		return
	}
	reply(200, "ready")
}

// evacuate empties the dispatcher, or has it take clients again.
func (p *Program) evacuate(on bool) {
	p.log.Info("program: evacuate", zap.Bool("on", on))
	p.front.Evacuate(on)
	if p.gearman != nil {
		p.gearman.Evacuate(on)
	}
}

func (p *Program) exclude(member string, reply console.Reply) {
	p.change("exclude", member, p.core.Exclude(member), reply)
}

func (p *Program) include(member string, reply console.Reply) {
	p.change("include", member, p.core.Include(member), reply)
}

// change puts a change of who is out in force, once it is kept: a yes must outlive this process.
func (p *Program) change(what, member string, ch routing.Change, reply console.Reply) {
	switch {
	case !ch.Known:
		reply(404, "nobody has member "+member)
		return
	case ch.Full:
		reply(507, "too many members are out")
		return
	}
	if err := p.keep(ch.Out); err != nil {
		p.log.Error("program: exclusions cannot be kept", zap.Error(err))
		reply(500, "it cannot be kept: "+err.Error())
		return
	}
	p.log.Info("program: "+what, zap.String("member", member))
	p.core.Apply(ch.Out)
	reply(200, "done")
}

// kept is the form in which exclusions are kept.
type kept struct {
	Version int                          `json:"version"`
	Out     map[string]routing.Exclusion `json:"out"`
}

const (
	keptVersion = 1
	mostKept    = 1 << 20 // bytes
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
	return filepath.Join(c.tmp, name+kind)
}

// keep writes the exclusions to disk, all or nothing.
func (p *Program) keep(out map[string]routing.Exclusion) error {
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
func (p *Program) restore() {
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
	p.core.Apply(k.Out)
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
		if name == "" || !(x.At > 0) || x.Since < 0 || x.Back < 0 || math.IsInf(x.At+x.Since+x.Back, 0) {
			return k, fmt.Errorf("program: exclusions: bad entry %q", name)
		}
	}
	return k, nil
}
