// Package promises is what the copies hold for the fleet: the state that agreed commands make, the same at each copy bit for bit. It
// knows no network, no clock and no log; time in it is the time that commands bring along.
package jobstate

import (
	"errors"
	"fmt"

	"cinderroad/internal/shared/membership"
)

// Form is the number of the commands' form. A copy that meets a newer one cannot tell what the others make of it, and stops.
const Form = 1

// Kind is what a command does.
type Kind uint8

// The kinds.
const (
	Take    Kind = iota + 1 // a job is promised
	Send                    // a dispatcher is about to send it: agreed before the first byte goes out
	End                     // it has run, or ended otherwise
	GiveUp                  // nobody can know whether it ran: whoever sent it is gone for good
	Exclude                 // a worker is taken out by hand
	Include                 // and back
	Pass                    // time passes
	kinds
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
	Form uint8  `cbor:"1,keyasint"`
	Kind Kind   `cbor:"2,keyasint"`
	At   int64  `cbor:"3,keyasint"` // Unix ms by the clock of who proposed it
	By   string `cbor:"4,keyasint"` // the member, with its life, that proposed it

	ID       uint64 `cbor:"5,keyasint,omitempty"`
	Tenant   string `cbor:"6,keyasint,omitempty"`
	Key      string `cbor:"7,keyasint,omitempty"` // the same twice is one promise; the tenant's own
	Class    string `cbor:"8,keyasint,omitempty"`
	Function string `cbor:"9,keyasint,omitempty"`
	Priority int8   `cbor:"10,keyasint,omitempty"`
	Effect   Effect `cbor:"11,keyasint,omitempty"`
	WindowMS int64  `cbor:"12,keyasint,omitempty"` // keyed: how long the group drops repeats, from the first agreed send
	Data     []byte `cbor:"13,keyasint,omitempty"` // of the job, or its result

	Fence  uint64 `cbor:"14,keyasint,omitempty"` // Send: the one it was seen at; End: the one it was sent under
	Worker string `cbor:"15,keyasint,omitempty"`
	Group  string `cbor:"16,keyasint,omitempty"` // of workers that drop the job's repeats
	Failed bool   `cbor:"17,keyasint,omitempty"` // End: the job failed
	Unrun  bool   `cbor:"18,keyasint,omitempty"` // End: it surely never ran under this fence, and waits again
}

var decoding = membership.StrictDecMode(4, 64)

// Encode is the command as it stands in the log.
func (c *Command) Encode() []byte {
	c.Form = Form
	return membership.MarshalDeterministic(c)
}

// Decode reads a command and checks what can be told without a state.
func Decode(text []byte) (c Command, err error) {
	if err := decoding.Unmarshal(text, &c); err != nil {
		return c, &Unreadable{"command", c.Form, err}
	}
	switch {
	case c.Form != Form:
		return c, &Unreadable{"command", c.Form, fmt.Errorf("this program reads form %d", Form)}
	case c.Kind == 0 || c.Kind >= kinds:
		return c, &Unreadable{"command", c.Form, fmt.Errorf("unknown kind %d", c.Kind)}
	case c.Effect > Unsafe:
		return c, &Unreadable{"command", c.Form, fmt.Errorf("unknown effect %d", c.Effect)}
	case c.At < 0 || c.WindowMS < 0:
		return c, &Unreadable{"command", c.Form, errors.New("a time below 0")}
	}
	return c, nil
}

var (
	errForm = fmt.Errorf("this program reads form %d", Form)
	errJob  = errors.New("a job that makes no sense")

	// loading reads snapshots, whose size the log's bound holds.
	loading = membership.StrictDecModeForArrays(6, 64, 1<<24)
)
