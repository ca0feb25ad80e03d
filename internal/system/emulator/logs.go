package emulator

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"cinderroad/internal/testkit/checker"
)

// forbiddenTexts are parts of lines that no program logs unless an invariant is violated or it ends by itself.
var forbiddenTexts = []string{
	"panic:",
	"fatal error:",
	"invariant",
	"WARNING: DATA RACE",
	`msg="replica failed"`,
	`msg="exiting on error"`,
	`msg="corrupt state folder quarantined"`,
}

// checkLogs reports the first forbidden line of each log.
func (e *emulation) checkLogs() error {
	files, err := filepath.Glob(filepath.Join(e.options.WorkDir, "*.log"))
	if err != nil {
		return err
	}
	for _, file := range files {
		line, err := findForbidden(file)
		if err != nil {
			return fmt.Errorf("log %s: %w", file, err)
		}
		if line != "" {
			e.checker.Report(checker.ReportedViolation, "%s: %s", filepath.Base(file), line)
		}
	}
	return nil
}

// findForbidden returns the first line of a log that has a forbidden text; empty: there is none.
func findForbidden(path string) (string, error) {
	log, err := os.Open(path)
	if err != nil {
		return "", err
	}
	defer log.Close()
	lines := bufio.NewReader(log)
	for {
		line, err := lines.ReadString('\n')
		for _, text := range forbiddenTexts {
			if strings.Contains(line, text) {
				return strings.TrimSpace(line), nil
			}
		}
		if err != nil {
			return "", nil // the end
		}
	}
}
