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

// adminCalls are what the staff can ask for at the second address.
func (s *Server) adminCalls() map[string]admin.Call {
	return map[string]admin.Call{
		"/api/ready":            {Method: "GET", Handle: func(_ string, reply admin.Reply) { s.handleReady(reply) }},
		"/api/fleet":            {Method: "GET", Handle: func(_ string, reply admin.Reply) { s.handleClusterStatus(reply) }},
		"/api/fleet/gone":       {Method: "PUT", TakesMember: true, Handle: s.handleDeclareLeft},
		"/api/fleet/shut-out":   {Method: "PUT", TakesMember: true, Handle: s.handleClusterOrder(true)},
		"/api/fleet/bring-back": {Method: "PUT", TakesMember: true, Handle: s.handleClusterOrder(false)},
		"/api/exclude":          {Method: "PUT", TakesMember: true, Handle: s.handleExclude},
		"/api/include":          {Method: "PUT", TakesMember: true, Handle: s.handleInclude},
		"/api/evacuate":         {Method: "PUT", Handle: func(_ string, reply admin.Reply) { s.executeOrder(operatorOrder{Action: "evacuate"}, reply) }},
		"/api/rejoin":           {Method: "PUT", Handle: func(_ string, reply admin.Reply) { s.executeOrder(operatorOrder{Action: "rejoin"}, reply) }},
	}
}

// handleReady says whether this process takes clients, as far as it is up to the process: one that was evacuated by hand
// could.
func (s *Server) handleReady(reply admin.Reply) {
	switch {
	case !s.serving:
		reply(503, "starting")
		return
	case s.stopping:
		reply(503, "stopping")
		return
	case s.upgrade.successorServes():
		reply(503, "the next process takes the clients")
		return
	}
	reply(200, "ready")
}

// setEvacuated empties the dispatcher from a time on, or has it take clients again.
func (s *Server) setEvacuated(on bool, began float64) {
	s.front.Evacuate(on, began)
	if s.gearman != nil {
		s.gearman.Evacuate(on)
	}
}

// operatorOrder is what the staff ask for, as it also goes to the dispatcher's other process.
type operatorOrder struct {
	Action    string             `json:"what"` // evacuate, rejoin, exclude or include
	Member    string             `json:"member,omitempty"`
	Exclusion dispatch.Exclusion `json:"exclusion"`
}

func (s *Server) handleExclude(member string, reply admin.Reply) {
	s.changeExclusion("exclude", member, s.dispatcher.Exclude(member), reply)
}

func (s *Server) handleInclude(member string, reply admin.Reply) {
	s.changeExclusion("include", member, s.dispatcher.Include(member), reply)
}

// changeExclusion carries out a change of who is out.
func (s *Server) changeExclusion(what, member string, change dispatch.ExclusionChange, reply admin.Reply) {
	switch {
	case !change.Known && s.serving:
		reply(404, "nobody has member "+member)
	case change.LimitReached:
		reply(507, "too many members are out")
	default:
		s.executeOrder(operatorOrder{Action: what, Member: member, Exclusion: change.Exclusions[member]}, reply)
	}
}

// executeOrder carries an order out, here and in the other process, and says yes once both have.
func (s *Server) executeOrder(order operatorOrder, reply admin.Reply) {
	if !s.serving { // what the process before has been told is on its way
		reply(503, "starting")
		return
	}
	if err := s.applyOrder(order); err != nil {
		s.log.Error("program: order not carried out", zap.String("what", order.Action), zap.Error(err))
		reply(500, err.Error())
		return
	}
	s.upgrade.forwardOrder(order, nil, func() { reply(200, "done") })
}

// applyOrder carries an order out in this process. Who is out is kept first: a yes must outlive it.
func (s *Server) applyOrder(order operatorOrder) error {
	s.log.Info("program: "+order.Action, zap.String("member", order.Member))
	switch order.Action {
	case "evacuate", "rejoin":
		s.setEvacuated(order.Action == "evacuate", s.loop.Now())
		return nil
	}
	exclusions := s.dispatcher.Exclusions()
	if order.Exclusion != (dispatch.Exclusion{}) { // else it was not out, and need not be called back
		exclusions[order.Member] = order.Exclusion
	}
	if err := s.saveExclusions(exclusions); err != nil {
		return err
	}
	s.dispatcher.ApplyExclusions(exclusions)
	return nil
}

// savedExclusions is the form in which exclusions are kept.
type savedExclusions struct {
	Version    int                           `json:"version"`
	Exclusions map[string]dispatch.Exclusion `json:"out"`
}

const (
	exclusionsVersion  = 1
	maxExclusionsBytes = 1 << 20 // bytes
	maxFileNameLength  = 60      // of a file: the system takes few for a socket
)

// tempPath is the path of a file of this dispatcher's own in $TMPDIR; empty without one.
func (c *Config) tempPath(kind string) string {
	if c.tempDir == "" {
		return ""
	}
	name := strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' {
			return r
		}
		return '_'
	}, cmp.Or(c.Name, "cinderroad")+"-"+c.Listen)
	name = name[:min(len(name), maxFileNameLength)]
	return filepath.Join(c.tempDir, name+kind)
}

// saveExclusions writes the exclusions to disk, all or nothing.
func (s *Server) saveExclusions(exclusions map[string]dispatch.Exclusion) error {
	path := s.config.tempPath(".exclusions")
	if path == "" {
		return nil // nowhere to keep them: they last as long as the process
	}
	text, err := json.Marshal(savedExclusions{exclusionsVersion, exclusions})
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

// restoreExclusions puts in force what an earlier process kept.
func (s *Server) restoreExclusions() {
	path := s.config.tempPath(".exclusions")
	if path == "" {
		return
	}
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	var saved savedExclusions
	if err == nil {
		saved, err = parseExclusions(text)
	}
	if err != nil {
		s.log.Error("program: kept exclusions make no sense, none taken", zap.String("file", path), zap.Error(err))
		return
	}
	s.dispatcher.ApplyExclusions(saved.Exclusions)
	s.log.Info("program: exclusions restored", zap.Int("members", len(saved.Exclusions)))
}

func parseExclusions(text []byte) (saved savedExclusions, err error) {
	if len(text) > maxExclusionsBytes {
		return saved, errors.New("program: exclusions: too long")
	}
	if err := json.Unmarshal(text, &saved); err != nil {
		return saved, fmt.Errorf("program: exclusions: %w", err)
	}
	if saved.Version != exclusionsVersion {
		return saved, fmt.Errorf("program: exclusions: version %d", saved.Version)
	}
	for name, exclusion := range saved.Exclusions {
		if name == "" || !(exclusion.ExcludedAt > 0) || exclusion.StartedAt < 0 || exclusion.IncludedAt < 0 || math.IsInf(exclusion.ExcludedAt+exclusion.StartedAt+exclusion.IncludedAt, 0) {
			return saved, fmt.Errorf("program: exclusions: bad entry %q", name)
		}
	}
	return saved, nil
}
