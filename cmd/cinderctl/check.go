package main

import (
	"bytes"
	"os"
	"strconv"

	"github.com/cockroachdb/errors"

	"cinderroad/internal/system/configuration"
	"cinderroad/internal/system/jsonfield"
	"cinderroad/internal/system/processconfig"
	"cinderroad/internal/system/validation"
)

// The kinds of files, as --kind and the reports name them.
const (
	kindConfiguration = "configuration"
	kindChange        = "change"
	kindSettings      = "settings"
)

type checkCommand struct {
	Files []string `arg:"" name:"file" help:"Files to check; what each one is can be seen from its fields."`
	On    string   `name:"on" help:"Configuration that changes are applied to; without it only their form is checked." placeholder:"FILE"`
	Kind  string   `name:"kind" help:"Kind of all files, in place of what their fields show." enum:"auto,configuration,change,settings" default:"auto"`
}

// fileReport is the result for a file.
type fileReport struct {
	File     string          `json:"file"`
	Kind     string          `json:"kind"`
	Version  uint64          `json:"version,omitempty"`
	Routes   int             `json:"routes,omitempty"`
	Services int             `json:"services,omitempty"`
	Problems []problemReport `json:"findings"`
	Omitted  int             `json:"omitted,omitempty"` // number of problems that are not listed
}

// problemReport is a problem with the line and column where its value begins, counted from 1; 0: unknown.
type problemReport struct {
	Path    string `json:"place"`
	Line    int    `json:"line,omitempty"`
	Column  int    `json:"column,omitempty"`
	Message string `json:"problem"`
}

// Run checks all files and prints the reports.
func (c *checkCommand) Run(s *session) error {
	base, err := c.base()
	if err != nil {
		return err
	}
	reports := make([]*fileReport, 0, len(c.Files))
	bad := 0
	for _, file := range c.Files {
		body, err := os.ReadFile(file)
		if err != nil {
			return errors.Wrap(err, "file to check")
		}
		report := checkFile(file, c.kindOf(body), body, base)
		reports = append(reports, report)
		if len(report.Problems) > 0 {
			bad++
		}
	}
	if err := s.printReports(reports); err != nil {
		return err
	}
	if bad > 0 {
		return &rejectedError{message: strconv.Itoa(bad) + " of " + strconv.Itoa(len(reports)) + " files are invalid"}
	}
	return nil
}

// base returns the configuration that changes are applied to; nil for none.
func (c *checkCommand) base() (*configuration.Document, error) {
	if c.On == "" {
		return nil, nil
	}
	body, err := os.ReadFile(c.On)
	if err != nil {
		return nil, errors.Wrap(err, "configuration that changes are applied to")
	}
	document, err := configuration.Parse(body)
	return document, errors.Wrapf(err, "configuration in %s", c.On)
}

// kindOf returns the kind of a file, which its top-level fields show.
func (c *checkCommand) kindOf(body []byte) string {
	if c.Kind != "auto" {
		return c.Kind
	}
	kind := kindConfiguration
	root, ok := jsonfield.Parse(body, &validation.Problems{})
	if !ok || !root.IsObject() {
		return kind
	}
	root.ReadObject(func(name string, _ jsonfield.Value) {
		switch name {
		case "node", "free_ports", "listen_on":
			kind = kindSettings
		case "replace", "remove":
			kind = kindChange
		}
	})
	return kind
}

// checkFile validates a file; base is nil unless changes are to be applied to it.
func checkFile(file, kind string, body []byte, base *configuration.Document) *fileReport {
	report := &fileReport{File: file, Kind: kind, Problems: []problemReport{}}
	switch kind {
	case kindSettings:
		_, err := processconfig.Parse(body)
		report.addError(err, body)
	case kindChange:
		report.addChange(body, base)
	default:
		document, err := configuration.ParseAndValidate(body, 0)
		report.setDocument(document)
		report.addError(err, body)
	}
	return report
}

// addChange adds the result for a change; base is nil if only the change's own form is checked.
func (r *fileReport) addChange(body []byte, base *configuration.Document) {
	if base == nil {
		change, err := configuration.ParseChange(body)
		if change != nil {
			r.Version = change.Version()
		}
		r.addError(err, body)
		return
	}
	document, err := configuration.ApplyAndValidate(body, base)
	r.setDocument(document)
	r.addError(err, body)
}

// setDocument records the version and the size of a document; nil: it could not be read.
func (r *fileReport) setDocument(document *configuration.Document) {
	if document == nil {
		return
	}
	r.Version = document.Version()
	r.Routes = len(document.Routes())
	r.Services = len(document.Services())
}

// addError adds the problems of a *validation.Error.
func (r *fileReport) addError(err error, body []byte) {
	var list validation.Problems
	list.AddError(err)
	var invalid *validation.Error
	if !errors.As(list.Err(), &invalid) {
		return
	}
	r.Omitted = invalid.Omitted
	for _, problem := range invalid.Problems {
		line, column := position(body, problem.Offset)
		r.Problems = append(r.Problems, problemReport{
			Path:    problem.Path,
			Line:    line,
			Column:  column,
			Message: problem.Message,
		})
	}
}

// position returns the line and column, counted from 1, of a byte offset; 0 for none.
func position(body []byte, offset int) (line, column int) {
	if offset < 0 || offset > len(body) {
		return 0, 0
	}
	before := body[:offset]
	line = 1 + bytes.Count(before, []byte("\n"))
	column = offset - bytes.LastIndexByte(before, '\n')
	return line, column
}

// printReports prints the reports as JSON or as text, as the flags say.
func (s *session) printReports(reports []*fileReport) error {
	if s.flags.JSON {
		return s.printJSON(reports)
	}
	for _, report := range reports {
		if err := s.printReport(report); err != nil {
			return err
		}
	}
	return nil
}

// printReport prints the problems of a file, one a line, or its summary if it has none.
func (s *session) printReport(report *fileReport) error {
	if len(report.Problems) == 0 {
		return s.printLine("%s: %s", report.File, report.summary())
	}
	for _, problem := range report.Problems {
		place := report.File
		if problem.Line > 0 {
			place += ":" + strconv.Itoa(problem.Line) + ":" + strconv.Itoa(problem.Column)
		}
		if problem.Path != "" {
			place += ": " + problem.Path
		}
		if err := s.printLine("%s: %s", place, problem.Message); err != nil {
			return err
		}
	}
	if report.Omitted > 0 {
		return s.printLine("%s: and %d more", report.File, report.Omitted)
	}
	return nil
}

// summary describes a file without problems.
func (r *fileReport) summary() string {
	switch {
	case r.Kind == kindSettings:
		return "valid settings"
	case r.Kind == kindChange && r.Routes+r.Services == 0:
		return "change to version " + strconv.FormatUint(r.Version, 10) + " can be read; --on checks what it makes"
	}
	return "valid " + r.Kind + ", version " + strconv.FormatUint(r.Version, 10) + ", " + strconv.Itoa(r.Routes) +
		" routes, " + strconv.Itoa(r.Services) + " services"
}
