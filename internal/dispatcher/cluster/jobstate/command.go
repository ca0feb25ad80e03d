// Package promises is what the copies hold for the fleet: the state that agreed commands make, the same at each copy bit for bit. It
// knows no network, no clock and no log; time in it is the time that commands bring along.
package jobstate

import (
	"errors"
	"fmt"

	"cinderroad/internal/shared/membership"
)

// FormatVersion is the number of the commands' form. A copy that meets a newer one cannot tell what the others make of it, and stops.
const FormatVersion = 1

// CommandKind is what a command does.
type CommandKind uint8

// The kinds.
const (
	CommandSubmit      CommandKind = iota + 1 // a job is promised
	CommandSend                               // a dispatcher is about to send it: agreed before the first byte goes out
	CommandEnd                                // it has run, or ended otherwise
	CommandAbandon                            // nobody can know whether it ran: whoever sent it is gone for good
	CommandExclude                            // a worker is taken out by hand
	CommandInclude                            // and back
	CommandAdvanceTime                        // time passes
	commandKinds
)

// Effect is what a repeat of a job may do.
type Effect uint8

// The effects: harmless, dropped by the group of workers for a while, or harmful.
const (
	Safe Effect = iota
	Keyed
	Unsafe
)

// Command is one agreed step. Which fields count depends on the kind.
type Command struct {
	FormatVersion uint8       `cbor:"1,keyasint"`
	Kind          CommandKind `cbor:"2,keyasint"`
	TimeMS        int64       `cbor:"3,keyasint"` // Unix ms by the clock of who proposed it
	Proposer      string      `cbor:"4,keyasint"` // the member, with its life, that proposed it

	ID                    uint64 `cbor:"5,keyasint,omitempty"`
	Tenant                string `cbor:"6,keyasint,omitempty"`
	Key                   string `cbor:"7,keyasint,omitempty"` // the same twice is one promise; the tenant's own
	Class                 string `cbor:"8,keyasint,omitempty"`
	Function              string `cbor:"9,keyasint,omitempty"`
	Priority              int8   `cbor:"10,keyasint,omitempty"`
	Effect                Effect `cbor:"11,keyasint,omitempty"`
	DeduplicationWindowMS int64  `cbor:"12,keyasint,omitempty"` // keyed: how long the group drops repeats, from the first agreed send
	Data                  []byte `cbor:"13,keyasint,omitempty"` // of the job, or its result

	FencingToken uint64 `cbor:"14,keyasint,omitempty"` // Send: the one it was seen at; End: the one it was sent under
	Worker       string `cbor:"15,keyasint,omitempty"`
	WorkerGroup  string `cbor:"16,keyasint,omitempty"` // of workers that drop the job's repeats
	Failed       bool   `cbor:"17,keyasint,omitempty"` // End: the job failed
	NotRun       bool   `cbor:"18,keyasint,omitempty"` // End: it surely never ran under this fence, and waits again
}

var commandDecoder = membership.StrictDecMode(4, 64)

// Encode is the command as it stands in the log.
func (c *Command) Encode() []byte {
	c.FormatVersion = FormatVersion
	return membership.MarshalDeterministic(c)
}

// Decode reads a command and checks what can be told without a state.
func Decode(data []byte) (command Command, err error) {
	if err := commandDecoder.Unmarshal(data, &command); err != nil {
		return command, &DecodeError{"command", command.FormatVersion, err}
	}
	switch {
	case command.FormatVersion != FormatVersion:
		return command, &DecodeError{"command", command.FormatVersion, fmt.Errorf("this program reads form %d", FormatVersion)}
	case command.Kind == 0 || command.Kind >= commandKinds:
		return command, &DecodeError{"command", command.FormatVersion, fmt.Errorf("unknown kind %d", command.Kind)}
	case command.Effect > Unsafe:
		return command, &DecodeError{"command", command.FormatVersion, fmt.Errorf("unknown effect %d", command.Effect)}
	case command.TimeMS < 0 || command.DeduplicationWindowMS < 0:
		return command, &DecodeError{"command", command.FormatVersion, errors.New("a time below 0")}
	}
	return command, nil
}

var (
	errUnsupportedVersion = fmt.Errorf("this program reads form %d", FormatVersion)
	errInvalidJob         = errors.New("a job that makes no sense")

	// snapshotDecoder reads snapshots, whose size the log's bound holds.
	snapshotDecoder = membership.StrictDecModeForArrays(6, 64, 1<<24)
)
