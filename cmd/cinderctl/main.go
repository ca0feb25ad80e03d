// Command cinderctl is the operator's tool: it checks files, reads the state of a running system, and sends changes.
//
// It exits with status 0 on success; 1 if a checked file is invalid or a request was rejected; and 2 if it could not do
// what it was asked: wrong usage, an unreadable file, no control machine that responds.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"cinderroad/internal/system/control/client"
	"cinderroad/internal/system/processconfig"
)

// Exit statuses.
const (
	exitOK       = 0
	exitRejected = 1 // invalid files, or a rejection
	exitFailed   = 2
)

// counterCommandName is the command about counters, as commandLine names it.
const counterCommandName = "tally"

// commandLine is what kong parses: the commands, and the flags that all of them take. Flags are named after the fields.
type commandLine struct {
	JSON     bool          `name:"json" help:"Print JSON in place of text."`
	Seed     []string      `name:"seed" help:"Operator's address of a control machine, host:port; several are tried in turn." placeholder:"ADDR"`
	Settings string        `name:"settings" help:"Settings file that names the seeds, if --seed does not." env:"CINDERROAD_SETTINGS" placeholder:"FILE"`
	Within   time.Duration `name:"within" help:"Timeout of a call with all its retries." default:"15s"`

	// ShowVersion does what the command version does, as --version does at the other programs. It is hidden: the help
	// texts stay as they were recorded.
	ShowVersion kong.VersionFlag `name:"version" hidden:""`

	Check   checkCommand   `cmd:"" name:"check" help:"Check configurations, changes of them, and settings files."`
	Status  statusCommand  `cmd:"" name:"status" help:"Print members, partitions, leaders, evacuations and versions."`
	Config  configCommand  `cmd:"" name:"config" help:"Read, replace or change the configuration."`
	Drain   drainCommand   `cmd:"" name:"drain" help:"Evacuate a zone, or end its evacuation."`
	Tally   counterCommand `cmd:"" name:"tally" help:"Read a replicated counter, add to it, or show the state of all."`
	Version versionCommand `cmd:"" name:"version" help:"Print the version of this program."`
}

// session holds what all commands of one invocation share.
type session struct {
	context context.Context
	flags   *commandLine
	output  io.Writer
	sleep   func(ctx context.Context, d time.Duration) // nil: the client's own
}

// rejectedError means that the command worked and that its result is negative: exit status 1.
type rejectedError struct{ message string }

// Error returns the message.
func (e *rejectedError) Error() string { return e.message }

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr, nil))
}

// run is the program without its process: it returns the exit status. Tests replace sleep, which is nil otherwise.
func run(ctx context.Context, arguments []string, output, errOutput io.Writer,
	sleep func(context.Context, time.Duration)) (status int) {
	var flags commandLine
	ended := -1
	parser, err := kong.New(&flags, kong.Name("cinderctl"), kong.Writers(output, errOutput),
		kong.Exit(func(status int) { ended = status }),
		kong.Vars{"version": programVersion()},
		kong.Description("Operator's tool of the system: checks files, reads state, sends change requests."))
	if err != nil {
		return fail(errOutput, err)
	}
	parsed, err := parser.Parse(markNegativeNumbers(arguments))
	if ended >= 0 {
		return ended // --help was given, and printed
	}
	if err != nil {
		return fail(errOutput, err)
	}
	err = parsed.Run(&session{context: ctx, flags: &flags, output: output, sleep: sleep})
	var rejected *rejectedError
	var rejectedByMachine *client.RejectedError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &rejected), errors.As(err, &rejectedByMachine):
		fail(errOutput, err)
		return exitRejected
	}
	return fail(errOutput, err)
}

// fail prints an error and returns exitFailed.
func fail(errOutput io.Writer, err error) int {
	fmt.Fprintf(errOutput, "cinderctl: %v\n", err) //nolint:errcheck // there is no other output
	return exitFailed
}

// client returns a client for the seeds that the flags or the settings file name.
func (s *session) client() (*client.Client, error) {
	machines := s.flags.Seed
	if len(machines) == 0 && s.flags.Settings != "" {
		data, err := os.ReadFile(s.flags.Settings)
		if err != nil {
			return nil, errors.Wrap(err, "settings that name the seeds")
		}
		settings, err := processconfig.Parse(data)
		if err != nil {
			return nil, errors.Wrapf(err, "settings in %s", s.flags.Settings)
		}
		for _, seed := range settings.SeedNodes {
			machines = append(machines, seed.String())
		}
	}
	if len(machines) == 0 {
		return nil, client.ErrNoAddresses
	}
	return &client.Client{Addresses: machines, Timeout: s.flags.Within, Sleep: s.sleep}, nil
}
