package main

import (
	"encoding/json"
	"os"

	"github.com/cockroachdb/errors"

	"cinderroad/internal/system/control/client"
)

type configCommand struct {
	Read    readCommand    `cmd:"" name:"read" help:"Print the configuration in force."`
	Replace replaceCommand `cmd:"" name:"replace" help:"Replace the configuration by another one."`
	Change  changeCommand  `cmd:"" name:"change" help:"Add, replace and remove single items."`
}

type readCommand struct{}

// readReport is the configuration in force.
type readReport struct {
	Version       uint64          `json:"version"`
	Configuration json.RawMessage `json:"configuration"`
}

// Run prints the configuration: the document itself as text, or with its version as JSON.
func (c *readCommand) Run(s *session) error {
	apiClient, err := s.client()
	if err != nil {
		return err
	}
	document, err := apiClient.Read(s.context)
	if err != nil {
		return err
	}
	if document.Version == 0 {
		return &rejectedError{message: "there is no configuration yet"}
	}
	if s.flags.JSON {
		return s.printJSON(&readReport{Version: document.Version, Configuration: document.Body})
	}
	return s.printLine("%s", document.Body)
}

// sendFlags are the flags of the commands that send a file.
type sendFlags struct {
	File    string  `arg:"" name:"file" help:"File to send."`
	BasedOn *uint64 `name:"based-on" help:"Version that it builds on, 0 for the first; without it, the one in force is read first."`
	NoCheck bool    `name:"no-check" help:"Send it without checking it first."`
}

type replaceCommand struct {
	sendFlags `embed:""`
}

// Run sends a complete configuration.
func (c *replaceCommand) Run(s *session) error { return c.send(s, kindConfiguration) }

type changeCommand struct {
	sendFlags `embed:""`
}

// Run sends a change.
func (c *changeCommand) Run(s *session) error { return c.send(s, kindChange) }

// send checks the file, unless --no-check is given, and sends it. kind is kindConfiguration or kindChange.
func (f *sendFlags) send(s *session, kind string) error {
	body, err := os.ReadFile(f.File)
	if err != nil {
		return errors.Wrap(err, "file to send")
	}
	if report := checkFile(f.File, kind, body, nil); len(report.Problems) > 0 && !f.NoCheck {
		if err := s.printReports([]*fileReport{report}); err != nil {
			return err
		}
		return &rejectedError{message: f.File + " is invalid and was not sent"}
	}
	apiClient, err := s.client()
	if err != nil {
		return err
	}
	basedOn, err := f.baseVersion(s, apiClient)
	if err != nil {
		return err
	}
	submit := apiClient.Replace
	if kind == kindChange {
		submit = apiClient.Change
	}
	acknowledgement, err := submit(s.context, basedOn, body)
	if err != nil {
		return s.printProblems(err)
	}
	if s.flags.JSON {
		return s.printJSON(acknowledgement)
	}
	return s.printLine("version %d is acknowledged by %s (attempt %d)",
		acknowledgement.Version, acknowledgement.Machine, acknowledgement.Attempts)
}

// baseVersion returns the version that the file builds on: the flag's, or the one in force.
func (f *sendFlags) baseVersion(s *session, apiClient *client.Client) (uint64, error) {
	if f.BasedOn != nil {
		return *f.BasedOn, nil
	}
	document, err := apiClient.Read(s.context)
	if err != nil {
		return 0, err
	}
	return document.Version, nil
}

// printProblems prints the problems that a rejection lists, and returns the error.
func (s *session) printProblems(err error) error {
	var rejected *client.RejectedError
	if !errors.As(err, &rejected) {
		return err
	}
	if s.flags.JSON {
		return errors.CombineErrors(err, s.printJSON(rejected.Details))
	}
	for _, problem := range rejected.Details.Problems {
		if printErr := s.printLine("%s: %s", orDash(problem.Path), problem.Message); printErr != nil {
			return errors.CombineErrors(err, printErr)
		}
	}
	return err
}
