package schedule

import (
	"fmt"
	"strings"
	"time"
)

// Action is what happens in an event.
type Action string

// The actions. The first four concern processes, the next five runners, the others orders of the operator.
const (
	Terminate           Action = "terminate" // SIGTERM
	Reload              Action = "reload"    // SIGHUP
	Kill                Action = "kill"      // SIGKILL
	LoseDisk            Action = "lose-disk" // SIGKILL, and the disk of the control machine is empty at its next start
	DrainRunner         Action = "drain-runner"
	DrainRunnerSlowly   Action = "drain-runner-slowly" // it serves for long after others must have left it alone
	DrainAtShortNotice  Action = "drain-runner-at-short-notice"
	CrashRunner         Action = "crash-runner"
	SilenceRunner       Action = "silence-runner"
	ChangeConfiguration Action = "change-configuration"
	RaceConfiguration   Action = "race-configuration" // two operators change the same version at once
	InvalidChange       Action = "invalid-change"
	BeginEvacuation     Action = "begin-evacuation"
	FinishEvacuation    Action = "finish-evacuation"
)

// Program says which processes of a machine an event concerns.
type Program string

// The programs.
const (
	Proxy   Program = "proxy"
	Agent   Program = "agent"
	Edge    Program = "edge" // proxy and agent of an edge machine
	Control Program = "control"
)

// Event is one fault or order.
type Event struct {
	At      time.Duration // since the beginning of the storm
	Action  Action
	Program Program       // of the actions on processes
	Index   int           // of the machine in its class, of the zone, or any number that selects a runner or a form of a change
	Restart time.Duration // from the end of a process to its next start
}

// String formats the event on one line.
func (e Event) String() string {
	text := fmt.Sprintf("%6dms %s", e.At.Milliseconds(), e.Action)
	if e.Program != "" {
		text += fmt.Sprintf(" %s", e.Program)
	}
	text += fmt.Sprintf(" %d", e.Index)
	if e.Restart > 0 {
		text += fmt.Sprintf(" restart=%v", e.Restart)
	}
	return text
}

// Format returns the events one a line.
func Format(events []Event) string {
	var text strings.Builder
	for _, event := range events {
		text.WriteString(event.String())
		text.WriteByte('\n')
	}
	return text.String()
}
