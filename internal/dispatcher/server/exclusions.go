package server

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"math"
	"os"
	"slices"
	"strings"

	"go.uber.org/zap"

	"cinderroad/internal/dispatcher/dispatch"
)

const (
	exclusionsVersion  = 1
	maxExclusionsBytes = 1 << 20 // of the file
)

// savedExclusions is the content of the file that carries exclusions from one process of a dispatcher to the next.
type savedExclusions struct {
	Version    int                           `json:"version"`
	Exclusions map[string]dispatch.Exclusion `json:"out"`
}

// restoreExclusions applies the exclusions that an earlier process saved. A file that cannot be used is logged, and none of it
// is applied.
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
		s.log.Error("exclusions: saved file is invalid, none restored", zap.String("file", path), zap.Error(err))
		return
	}
	s.dispatcher.ApplyExclusions(saved.Exclusions)
	s.log.Info("exclusions: restored", zap.Int("members", len(saved.Exclusions)))
}

// parseExclusions reads a file of exclusions and checks every entry.
func parseExclusions(text []byte) (saved savedExclusions, err error) {
	if len(text) > maxExclusionsBytes {
		return saved, errors.New("exclusions: too long")
	}
	if err := json.Unmarshal(text, &saved); err != nil {
		return saved, fmt.Errorf("exclusions: %w", err)
	}
	if saved.Version != exclusionsVersion {
		return saved, fmt.Errorf("exclusions: version %d", saved.Version)
	}
	for name, exclusion := range saved.Exclusions {
		if name == "" || !plausible(exclusion) {
			return saved, fmt.Errorf("exclusions: bad entry %q", name)
		}
	}
	return saved, nil
}

// plausible reports whether the times of an exclusion are ones that can occur.
func plausible(exclusion dispatch.Exclusion) bool {
	if !(exclusion.ExcludedAt > 0) { // also if it is NaN
		return false
	}
	if exclusion.StartedAt < 0 || exclusion.IncludedAt < 0 {
		return false
	}
	return !math.IsInf(exclusion.ExcludedAt+exclusion.StartedAt+exclusion.IncludedAt, 0)
}

// exclusionsHash identifies the set of excluded workers, for operators to compare dispatchers; empty if there are none.
func (s *Server) exclusionsHash() string {
	exclusions := s.dispatcher.Exclusions()
	if len(exclusions) == 0 {
		return ""
	}
	return shortHash([]byte(strings.Join(slices.Sorted(maps.Keys(exclusions)), "\x00")))
}
