package server

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"slices"

	"go.uber.org/zap"
)

// reload reads the configuration anew and takes all of a good one that can change while the program runs, or
// none of a bad one. It takes the place of nothing that is open: reqs, fetches and the list go on.
func (p *Server) reload() {
	next, err := p.reread()
	var members *fleetChange
	if err == nil {
		members, err = p.prepareFleet(next)
	}
	var outputs *reportingChange
	if err == nil {
		outputs, err = p.reporting.prepare(next.Operator)
	}
	if err != nil {
		members.drop()
		p.Reloads.Rejected++
		p.log.Error("program: reload refused, old configuration kept", zap.Error(err))
		return
	}
	p.Reloads.Applied++
	was := p.config
	restart := was.fixed(next)
	// What needs a restart stays as it runs, so that the next reload names it again.
	config := *was
	config.Limits, config.Discovery = next.Limits, next.Discovery
	if next.discovery.IsValid() {
		config.discovery = next.discovery
	}
	if was.gearman != nil && next.gearman != nil {
		restart = append(restart, p.gearman.Reload(next.gearman)...)
	}
	config.Operator = next.Operator
	p.config = &config
	restart = append(restart, p.reporting.take(outputs)...)
	p.takeFleet(members)
	p.limit()
	if config.discovery.IsValid() {
		p.director.SetAddress(config.discovery)
	}
	p.log.Info("program: reloaded", zap.String("discovery", config.Discovery), zap.Int("sockets", config.Limits.Sockets),
		zap.Int("memory_mb", config.Limits.MemoryMB), zap.Strings("needs_restart", restart))
}

// reread reads the files again. The environment of the start named the discovery of the start: a file that names
// one has the newer word.
func (p *Server) reread() (*Config, error) {
	next, err := ReadConfig(p.config.path, func(name string) string {
		if name == "ROUTER_DISCOVERY" {
			return ""
		}
		return os.Getenv(name)
	})
	if err != nil {
		return nil, err
	}
	if next.Discovery == "" {
		next.Discovery, next.discovery = p.config.Discovery, p.config.discovery
	}
	if p.config.gearmanPath != "" {
		if err := next.ReadGearman(p.config.gearmanPath); err != nil {
			return nil, fmt.Errorf("config: %w", err)
		}
	}
	if err := next.ReadOperator(p.config.short); err != nil {
		return nil, err
	}
	return next, nil
}

// fixed names what differs in next and is taken by a restart alone. The list that an earlier life knew and the
// seed are for a start and differ freely.
func (c *Config) fixed(next *Config) (names []string) {
	for name, same := range map[string]bool{"name": c.Name == next.Name, "listen": c.listen == next.listen,
		"settings": bytes.Equal(canonical(c.Settings), canonical(next.Settings))} {
		if !same {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// canonical is a JSON text without regard to its spaces or the order of its keys.
func canonical(text json.RawMessage) []byte {
	var v any
	if json.Unmarshal(text, &v) != nil {
		return text
	}
	out, _ := json.Marshal(v)
	return out
}
