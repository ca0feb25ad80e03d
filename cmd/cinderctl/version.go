package main

import (
	"fmt"
	"runtime"

	"cinderroad/internal/shared/release"
)

type versionCommand struct{}

// versionReport is the version of this program.
type versionReport struct {
	Version string `json:"version"`
	Go      string `json:"go"`
}

// Run prints the version that the build recorded.
func (c *versionCommand) Run(s *session) error {
	report := versionReport{Version: release.Name(), Go: runtime.Version()}
	if s.flags.JSON {
		return s.printJSON(&report)
	}
	return s.printLine("%s", programVersion())
}

// programVersion returns the name, version and Go version of this program, as text.
func programVersion() string {
	return fmt.Sprintf("cinderctl %s (%s)", release.Name(), runtime.Version())
}
