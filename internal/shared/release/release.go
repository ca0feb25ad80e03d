// Package release names the build of the running program, so that operators can tell two builds apart.
package release

import (
	"runtime/debug"
	"sync"
)

const (
	maxLength      = 40 // bytes; members show it of each other
	revisionLength = 12 // of a commit, in hexadecimal digits
	unknown        = "unknown"
)

// stamped is set by the linker; deploy/build.sh passes what deploy/release.sh prints.
var stamped string

// Name returns the name that the build was stamped with. Without a stamp it is the commit that the go command recorded, or
// else the module's version, which all builds outside of version control share.
var Name = sync.OnceValue(func() string {
	info, known := debug.ReadBuildInfo()
	if !known {
		info = &debug.BuildInfo{}
	}
	return nameOf(stamped, info)
})

// nameOf chooses the name of a build.
func nameOf(stamp string, info *debug.BuildInfo) string {
	name := info.Main.Version
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" && len(setting.Value) >= revisionLength {
			name = setting.Value[:revisionLength]
		}
	}
	if stamp != "" {
		name = stamp
	}
	if name == "" {
		return unknown
	}
	return name[:min(len(name), maxLength)]
}
