// Command cinderroad-emulator plays deployments of the system on one machine: it compares placement policies over
// modelled runners in virtual time.
package main

import "github.com/alecthomas/kong"

type commands struct {
	Policies policies `cmd:"" help:"Compare placement policies over modelled runners in virtual time."`
}

func main() {
	var c commands
	context := kong.Parse(&c, kong.Name("cinderroad-emulator"),
		kong.Description("Deployments of the system on one machine, with stand-ins for everything outside it."))
	context.FatalIfErrorf(context.Run())
}
