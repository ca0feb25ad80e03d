package versions

import "fmt"

// State is what a list says of a worker.
type State uint8

// The states, the graver later.
const (
	Ready State = iota
	Draining
	Gone
	states
)

// String is the state as logs show it.
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
	Start    int64  `cbor:"3,keyasint,omitempty"` // of its process, Unix milliseconds
	Revision int64  `cbor:"4,keyasint"`
}

// Restriction is how a worker is to be taken whatever the own list says.
type Restriction struct {
	State    State
	Start    int64
	From     string // who told it
	Revision int64
}

// Entry is a worker as the own director tells it.
type Entry struct {
	Worker string
	State  State
	Start  int64
}

// fact is a Fact and what became of it here.
type fact struct {
	Fact
	from       string // empty: the own director
	receivedAt float64
	transmits  int
	doubted    bool // the own director has had the time to confirm it and did not
}
