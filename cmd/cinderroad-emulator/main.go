// Command cinderroad-emulator runs deployments of the system on one machine. Its command day serves short traffic with
// the real programs and fakes of everything else; its command policies compares placement policies over simulated
// runners in virtual time.
package main

import (
	"github.com/alecthomas/kong"

	"cinderroad/internal/shared/release"
)

type commands struct {
	Version kong.VersionFlag `name:"version" help:"Print the version of this program and exit."`

	Day      dayCommand      `cmd:"" name:"day" default:"withargs" help:"Run the real programs on loopback, with traffic and faults."`
	Policies policiesCommand `cmd:"" name:"policies" help:"Compare placement policies over simulated runners in virtual time."`
}

func main() {
	var c commands
	context := kong.Parse(&c, kong.Name("cinderroad-emulator"), kong.Vars{"faults": faultNames(), "version": release.Name()},
		kong.Description("Runs deployments of the system on one machine, with fakes of all external systems."))
	context.FatalIfErrorf(context.Run())
}
