package jobstate

import (
	"errors"
	"fmt"

	"cinderroad/internal/shared/membership"
)

// FormatVersion is the version of the encoding of commands and snapshots. A replica that reads a newer one must stop: it
// can't know what the other replicas make of it.
const FormatVersion = 1

// CommandKind is what a command does. The values are stored in the log.
type CommandKind uint8

// The kinds of commands.
const (
	CommandSubmit      CommandKind = iota + 1 // accept a job
	CommandSend                               // a dispatcher is about to send the job: committed before the first byte is sent
	CommandEnd                                // the job has ended, or has certainly not run (NotRun)
	CommandAbandon                            // the dispatcher that sent the job is gone, so nobody can know whether it ran
	CommandExclude                            // an operator excludes a worker
	CommandInclude                            // an operator includes an excluded worker again
	CommandAdvanceTime                        // nothing but the time changes
	commandKinds
)

// Effect is what running a job twice may do. The values are stored in the log.
type Effect uint8

// The effects of a second run.
const (
	Safe   Effect = iota // idempotent
	Keyed                // the worker group drops a repeat within the job's deduplication window
	Unsafe               // harmful: the job must not run twice
)

// Command is an entry of the replicated log. Which fields count depends on Kind.
type Command struct {
	FormatVersion uint8       `cbor:"1,keyasint"` // set by Encode
	Kind          CommandKind `cbor:"2,keyasint"`
	TimeMS        int64       `cbor:"3,keyasint"` // Unix time by the proposer's clock
	Proposer      string      `cbor:"4,keyasint"` // name and incarnation of the member that proposed the command

	ID                    uint64 `cbor:"5,keyasint,omitempty"` // of the job; all kinds that concern a job but CommandSubmit
	Tenant                string `cbor:"6,keyasint,omitempty"`
	Key                   string `cbor:"7,keyasint,omitempty"` // idempotency key, unique for the tenant; "": none
	Class                 string `cbor:"8,keyasint,omitempty"`
	Function              string `cbor:"9,keyasint,omitempty"`
	Priority              int8   `cbor:"10,keyasint,omitempty"` // higher is sent first
	Effect                Effect `cbor:"11,keyasint,omitempty"`
	DeduplicationWindowMS int64  `cbor:"12,keyasint,omitempty"` // Keyed: how long the worker group drops repeats, from the first send
	Data                  []byte `cbor:"13,keyasint,omitempty"` // CommandSubmit: of the job; CommandEnd: its result

	// FencingToken is, for CommandSend and CommandAbandon, the token that the proposer has read; for CommandEnd, the token
	// under which the job was sent.
	FencingToken uint64 `cbor:"14,keyasint,omitempty"`
	Worker       string `cbor:"15,keyasint,omitempty"`
	WorkerGroup  string `cbor:"16,keyasint,omitempty"` // of the workers that drop repeats of the job
	Failed       bool   `cbor:"17,keyasint,omitempty"` // CommandEnd: the job failed
	NotRun       bool   `cbor:"18,keyasint,omitempty"` // CommandEnd: the job has certainly not run under this token, and waits again
}

// Bounds of what a decoder accepts.
const (
	commandNesting   = 4
	snapshotNesting  = 6
	maxFields        = 64      // of a map
	snapshotElements = 1 << 24 // of an array: what bounds a snapshot is the log's limit on its size
)

var commandDecoder = membership.StrictDecMode(commandNesting, maxFields)

var errUnsupportedVersion = fmt.Errorf("this program reads version %d", FormatVersion)

// Encode returns the command as it is stored in the log, in the current FormatVersion.
func (c *Command) Encode() []byte {
	c.FormatVersion = FormatVersion
	return membership.MarshalDeterministic(c)
}

// Decode reads a command and checks what can be checked without a State. Its errors are of type *DecodeError.
func Decode(data []byte) (command Command, err error) {
	if err := commandDecoder.Unmarshal(data, &command); err != nil {
		return command, &DecodeError{"command", command.FormatVersion, err}
	}
	switch {
	case command.FormatVersion != FormatVersion:
		return command, &DecodeError{"command", command.FormatVersion, errUnsupportedVersion}
	case command.Kind == 0 || command.Kind >= commandKinds:
		return command, &DecodeError{"command", command.FormatVersion, fmt.Errorf("unknown kind %d", command.Kind)}
	case command.Effect > Unsafe:
		return command, &DecodeError{"command", command.FormatVersion, fmt.Errorf("unknown effect %d", command.Effect)}
	case command.TimeMS < 0 || command.DeduplicationWindowMS < 0:
		return command, &DecodeError{"command", command.FormatVersion, errors.New("a negative time")}
	}
	return command, nil
}
