package server

import (
	"bytes"
	"fmt"
	"os"
	"slices"

	"go.uber.org/zap"
)

// reload reads the files again and applies all of a valid configuration that can change while the process runs, or nothing
// of an invalid one. Jobs, attempts, connections and the membership are not affected.
func (s *Server) reload() {
	next, err := s.rereadConfig()
	var clusterChange *clusterReload
	if err == nil {
		clusterChange, err = s.prepareClusterReload(next)
	}
	var reportingChange *reportingReload
	if err == nil {
		reportingChange, err = s.reporting.prepareReload(next.Operator)
	}
	if err != nil {
		clusterChange.close()
		s.Reloads.Rejected++
		s.log.Error("server: reload rejected, keeping the current configuration", zap.Error(err))
		return
	}
	s.Reloads.Applied++
	running := s.config
	restart := running.restartOnlyChanges(next)
	// What needs a restart keeps its value, so that the next reload reports it again.
	config := *running
	config.Limits = next.Limits
	config.Discovery = next.Discovery
	if next.discovery.IsValid() {
		config.discovery = next.discovery
	}
	if running.gearman != nil && next.gearman != nil {
		restart = append(restart, s.gearman.Reload(next.gearman)...)
	}
	config.Operator = next.Operator
	s.config = &config
	restart = append(restart, s.reporting.applyReload(reportingChange)...)
	s.applyClusterReload(clusterChange)
	s.applyLimits()
	if config.discovery.IsValid() {
		s.discovery.SetAddress(config.discovery)
	}
	s.log.Info("server: configuration reloaded",
		zap.String("discovery", config.Discovery),
		zap.Int("sockets", config.Limits.Sockets),
		zap.Int("memory_mb", config.Limits.MemoryMB),
		zap.Strings("needs_restart", restart),
	)
}

// rereadConfig reads the files again. The environment is that of the start, so an address of discovery in the file, which is
// newer, takes precedence over it.
func (s *Server) rereadConfig() (*Config, error) {
	next, err := ReadConfig(s.config.path, func(name string) string {
		if name == "ROUTER_DISCOVERY" {
			return ""
		}
		return os.Getenv(name)
	})
	if err != nil {
		return nil, err
	}
	if next.Discovery == "" {
		next.Discovery, next.discovery = s.config.Discovery, s.config.discovery
	}
	if s.config.gearmanPath != "" {
		if err := next.ReadGearman(s.config.gearmanPath); err != nil {
			return nil, fmt.Errorf("config: %w", err)
		}
	}
	if err := next.ReadOperator(s.config.shorthand); err != nil {
		return nil, err
	}
	return next, nil
}

// restartOnlyChanges returns the names of settings that differ in next and that only a restart applies, sorted. The initial
// membership and the seed matter at a start alone and are not compared.
func (c *Config) restartOnlyChanges(next *Config) (names []string) {
	for name, same := range map[string]bool{
		"name":     c.Name == next.Name,
		"listen":   c.listen == next.listen,
		"console":  c.console == next.console,
		"settings": bytes.Equal(canonical(c.Settings), canonical(next.Settings)),
	} {
		if !same {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
