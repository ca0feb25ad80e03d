package discovery

import (
	"fmt"
	"time"

	"cinderroad/internal/system/jsonfield"
	"cinderroad/internal/system/validation"
)

// MalformedListError says that a page of the list cannot be read at all. Problems is a *validation.Error.
type MalformedListError struct{ Problems error }

// Error says what is wrong with the page.
func (e *MalformedListError) Error() string {
	return fmt.Sprintf("discovery: the platform's list cannot be read: %v", e.Problems)
}

// Unwrap returns the error that holds the problems.
func (e *MalformedListError) Unwrap() error { return e.Problems }

// SkippedEntriesError is returned beside a usable page some entries of which could not be used. Problems is a
// *validation.Error.
type SkippedEntriesError struct {
	Skipped  int // number of entries that were skipped
	Problems error
}

// Error says how many entries were skipped and what is wrong with them.
func (e *SkippedEntriesError) Error() string {
	return fmt.Sprintf("discovery: %d entries of the platform's list were skipped: %v", e.Skipped, e.Problems)
}

// Unwrap returns the error that holds the problems.
func (e *SkippedEntriesError) Unwrap() error { return e.Problems }

// DecodeList reads a page of the platform's list. nextToken is the token of the following page, empty on the last one.
//
// Entries that cannot be used are skipped and reported in a *SkippedEntriesError beside the rest of the page. Any other
// error is a *MalformedListError, and there is no page then.
func DecodeList(body []byte) (runners []Runner, nextToken string, err error) {
	var decoder listDecoder
	root, ok := jsonfield.Parse(body, &decoder.problems)
	if !ok || !root.ReadObject(decoder.readField) || !decoder.hasEntries || decoder.malformed {
		if !decoder.hasEntries {
			decoder.problems.Add("instances", "is missing")
		}
		return nil, "", &MalformedListError{Problems: decoder.problems.Err()}
	}
	if decoder.skipped > 0 {
		err = &SkippedEntriesError{Skipped: decoder.skipped, Problems: decoder.problems.Err()}
	}
	return decoder.runners, decoder.nextToken, err
}

// listDecoder collects the fields of a page.
type listDecoder struct {
	problems   validation.Problems
	runners    []Runner
	nextToken  string
	skipped    int
	hasEntries bool // the page has a list of entries
	malformed  bool
}

func (d *listDecoder) readField(name string, value jsonfield.Value) {
	switch name {
	case "instances":
		d.hasEntries = value.ReadArray(d.readEntry)
	case "next_token":
		if value.IsNull() {
			return
		}
		token, ok := value.Text()
		d.nextToken = token
		d.malformed = d.malformed || !ok
	}
}

func (d *listDecoder) readEntry(_ int, value jsonfield.Value) {
	before := d.problems.Len()
	runner := listEntry{}
	if value.ReadObject(runner.readField) {
		runner.validate(value)
	}
	if d.problems.Len() > before {
		d.skipped++
		return
	}
	d.runners = append(d.runners, runner.Runner)
}

// listEntry is a runner while its fields are read.
type listEntry struct {
	Runner
	state string
}

// readField reads a field of an entry. Unknown fields and null ones are ignored.
func (e *listEntry) readField(name string, value jsonfield.Value) {
	if value.IsNull() {
		return
	}
	switch name {
	case "id":
		e.ID, _ = value.Text()
	case "service":
		e.Service, _ = value.Text()
	case "address":
		e.Address, _ = value.AddrPort()
	case "zone":
		e.Zone, _ = value.Text()
	case "capacity":
		e.Capacity, _ = value.Int()
	case "state":
		e.state, _ = value.Text()
	case "cold_left_ms":
		e.SlowStartRemaining = readMilliseconds(value)
	case "time_left_ms":
		e.TimeToTermination = max(readMilliseconds(value), minTimeToTermination)
		e.Draining = true
	case "phase":
		e.Phase, _ = value.Text()
	case "models":
		value.ReadArray(e.readModel)
	}
}

func (e *listEntry) readModel(_ int, value jsonfield.Value) {
	var model Model
	value.ReadObject(func(name string, value jsonfield.Value) {
		switch name {
		case "name":
			model.Name, _ = value.Text()
		case "version":
			model.Version, _ = value.Int()
		}
	})
	e.Models = append(e.Models, model)
}

// validate checks the fields that every runner must have. A runner in any state but serving, unknown states included,
// is draining.
func (e *listEntry) validate(value jsonfield.Value) {
	e.Draining = e.Draining || e.state != "serving"
	if e.ID == "" {
		value.AddProblem("has no id")
	}
	if e.Service == "" {
		value.AddProblem("has no service")
	}
	if !e.Address.IsValid() || e.Address.Port() == 0 {
		value.AddProblem("has no address")
	}
	if e.Capacity < 0 {
		value.AddProblem("has a negative capacity")
	}
}

// minTimeToTermination is the value for a termination that is due at once, since 0 means that none is announced.
const minTimeToTermination = time.Nanosecond

// readMilliseconds reads a duration. One slightly below 0 counts as 0: the platform sends the time that is left.
func readMilliseconds(value jsonfield.Value) time.Duration {
	const maxNanoseconds = 1 << 62
	number, ok := value.Float()
	if !ok {
		return 0
	}
	nanoseconds := number * float64(time.Millisecond)
	if nanoseconds > maxNanoseconds {
		value.AddProblem("is too long")
		return 0
	}
	return max(time.Duration(nanoseconds), 0)
}
