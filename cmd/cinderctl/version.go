package main

import "runtime/debug"

type versionCommand struct{}

// versionReport is the version of this program.
type versionReport struct {
	Version string `json:"version"`
	Go      string `json:"go"`
}

// Run prints the version that the build recorded.
func (c *versionCommand) Run(s *session) error {
	report := versionReport{Version: "unknown"}
	if info, known := debug.ReadBuildInfo(); known {
		report = versionReport{Version: info.Main.Version, Go: info.GoVersion}
		for _, setting := range info.Settings {
			if setting.Key == "vcs.revision" {
				report.Version = setting.Value
			}
		}
	}
	if s.flags.JSON {
		return s.printJSON(&report)
	}
	return s.printLine("cinderctl %s (%s)", report.Version, report.Go)
}
