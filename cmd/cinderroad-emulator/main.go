// Command cinderroad-emulator runs deployments of the system on one machine. Its command day serves short traffic with
// the real programs and fakes of everything else; its command policies compares placement policies over simulated
// runners in virtual time.
package main

import "github.com/alecthomas/kong"

type commands struct {
	Day      dayCommand      `cmd:"" name:"day" default:"withargs" help:"Run the real programs on loopback, with traffic and faults."`
	Policies policiesCommand `cmd:"" name:"policies" help:"Compare placement policies over simulated runners in virtual time."`
}

func main() {
	var c commands
	context := kong.Parse(&c, kong.Name("cinderroad-emulator"), kong.Vars{"troubles": faultNames()},
		kong.Description("Runs deployments of the system on one machine, with fakes of all external systems."))
	context.FatalIfErrorf(context.Run())
}
