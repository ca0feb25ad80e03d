package versions

import "fmt"

// State is the state of a worker in a list. It is sent between members.
type State uint8

// The states of a worker, the more restrictive later.
const (
	Ready State = iota
	Draining
	Gone
	states
)

// String returns the name of the state, as logs and /api/fleet show it.
func (s State) String() string {
	if s >= states {
		return fmt.Sprintf("state %d", uint8(s))
	}
	return [...]string{"ready", "draining", "gone"}[s]
}

// Fact is what a version of the list says of a worker.
type Fact struct {
	Worker   string `cbor:"1,keyasint"`
	State    State  `cbor:"2,keyasint,omitempty"`
	Start    int64  `cbor:"3,keyasint,omitempty"` // start of its process, Unix milliseconds
	Revision int64  `cbor:"4,keyasint"`
}

// Restriction is how a worker is to be treated whatever the own list says.
type Restriction struct {
	State    State
	Start    int64
	From     string // the member that sent the fact
	Revision int64
}

// Entry is a worker in the own list.
type Entry struct {
	Worker string
	State  State
	Start  int64 // start of its process, Unix milliseconds
}

// fact is a stored Fact.
type fact struct {
	Fact
	from       string // the member that sent it; empty: the own discovery
	receivedAt float64
	transmits  int
	doubted    bool // the own discovery did not confirm it in time
}
