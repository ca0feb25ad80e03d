package main

import (
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"cinderroad/internal/system/control/client"
)

type counterCommand struct {
	Read   readCounterCommand   `cmd:"" name:"read" help:"Print the total of a counter."`
	Change addCommand           `cmd:"" name:"change" help:"Add to a counter, or subtract from it."`
	Status counterStatusCommand `cmd:"" name:"status" help:"Print what each control machine holds and what its peers lack."`
}

type readCounterCommand struct {
	Name hyphenated `arg:"" name:"name" help:"Name of the counter."`
}

// totalReport is the total of a counter.
type totalReport struct {
	Name string `json:"name"`
	client.CounterTotal
}

// Run prints the total that a machine has: the number alone as text.
func (c *readCounterCommand) Run(s *session) error {
	apiClient, err := s.client()
	if err != nil {
		return err
	}
	total, err := apiClient.ReadCounter(s.context, string(c.Name))
	if err != nil {
		return explainCounterError(err, "the counter could not be read")
	}
	if s.flags.JSON {
		return s.printJSON(&totalReport{Name: string(c.Name), CounterTotal: *total})
	}
	return s.printLine("%s", total.Total)
}

type addCommand struct {
	Name   hyphenated `arg:"" name:"name" help:"Name of the counter."`
	Amount hyphenated `arg:"" name:"amount" help:"Whole number to add, such as 4 or -4."`
	ID     hyphenated `name:"id" help:"ID under which it counts once; without it, one is drawn and printed." placeholder:"ID"`
}

// additionReport is the acknowledgement of an addition.
type additionReport struct {
	Name string `json:"name"`
	client.Addition
	client.Acknowledgement
}

// Run adds to the counter. The ID is printed first, so that an interrupted call can be repeated.
func (c *addCommand) Run(s *session) error {
	amount, err := strconv.ParseInt(string(c.Amount), 10, 64)
	if err != nil {
		return errors.Newf("%q is no whole number of 64 bits", string(c.Amount))
	}
	addition := client.Addition{ID: string(c.ID), Amount: amount}
	if addition.ID == "" {
		addition.ID = drawID()
	}
	apiClient, err := s.client()
	if err != nil {
		return err
	}
	if !s.flags.JSON {
		if err := s.printLine("id %s", addition.ID); err != nil {
			return err
		}
	}
	acknowledgement, err := apiClient.Add(s.context, string(c.Name), addition)
	if err != nil {
		return explainAdditionError(s.printProblems(err), string(c.Name), &addition)
	}
	if s.flags.JSON {
		return s.printJSON(&additionReport{Name: string(c.Name), Addition: addition, Acknowledgement: *acknowledgement})
	}
	return s.printLine("%s is changed by %d, acknowledged by %s (attempt %d)",
		string(c.Name), amount, acknowledgement.Machine, acknowledgement.Attempts)
}

// drawID draws an ID that no other addition has.
func drawID() string {
	const idBytes = 16
	var id [idBytes]byte
	rand.Read(id[:]) //nolint:errcheck // it never fails
	return hex.EncodeToString(id[:])
}

// explainAdditionError adds to the error of an addition whether it may be counted, and what to do.
func explainAdditionError(err error, name string, addition *client.Addition) error {
	var unavailable *client.UnavailableError
	var rejected *client.RejectedError
	mayBeCounted := errors.As(err, &unavailable) && unavailable.MayBeDone || errors.As(err, &rejected) && rejected.MayBeDone
	again := "cinderctl tally change " + shellQuote(name) + " " + strconv.FormatInt(addition.Amount, 10) +
		" --id " + shellQuote(addition.ID)
	switch {
	case mayBeCounted:
		return explainCounterError(err, "the outcome is unknown: the addition may be counted, now or later; "+
			"under its id it counts once, so repeat it until it is acknowledged: "+again)
	case unavailable != nil:
		return explainCounterError(err, "nothing was counted; repeat it later: "+again)
	case rejected != nil:
		return explainCounterError(err, "nothing was counted by this call")
	}
	return err
}

// explainCounterError adds to the error of a call about counters what an operator can do.
func explainCounterError(err error, outcome string) error {
	var unavailable *client.UnavailableError
	var rejected *client.RejectedError
	switch {
	case errors.As(err, &unavailable):
		return errors.Newf("%s; no control machine has done it in %d attempts, tally status shows their disks and peers; last: %w",
			outcome, unavailable.Attempts, unavailable.LastError)
	case !errors.As(err, &rejected):
		return err
	}
	switch rejected.Response.Status {
	case http.StatusNotFound:
		return errors.Wrap(err, outcome+"; no counters are served there: the settings' promises must name apart")
	case http.StatusConflict:
		return errors.Wrap(err, outcome+"; the id stands for another counter or amount: use another id for another addition")
	}
	return errors.Wrap(err, outcome)
}

// shellQuote returns a word as a shell takes it.
func shellQuote(word string) string {
	isPlain := func(r rune) bool {
		return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune("-_.:/", r)
	}
	if word != "" && strings.IndexFunc(word, func(r rune) bool { return !isPlain(r) }) < 0 {
		return word
	}
	return "'" + strings.ReplaceAll(word, "'", `'\''`) + "'"
}
