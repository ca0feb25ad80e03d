package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
)

// printJSON prints a value as indented JSON.
func (s *session) printJSON(value any) error {
	encoder := json.NewEncoder(s.output)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	return errors.Wrap(encoder.Encode(value), "print")
}

// printLine prints one line of text.
func (s *session) printLine(format string, arguments ...any) error {
	_, err := fmt.Fprintf(s.output, format+"\n", arguments...)
	return errors.Wrap(err, "print")
}

// table is text in columns; the first row is the heading.
type table struct{ rows [][]string }

func (t *table) add(cells ...string) { t.rows = append(t.rows, cells) }

// print prints the rows with their columns aligned.
func (t *table) print(output io.Writer) error {
	const gap = 2
	writer := tabwriter.NewWriter(output, 0, 0, gap, ' ', 0)
	for _, row := range t.rows {
		if _, err := fmt.Fprintln(writer, strings.Join(row, "\t")); err != nil {
			return errors.Wrap(err, "print")
		}
	}
	return errors.Wrap(writer.Flush(), "print")
}

// orDash returns the text, or a dash if it is empty.
func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
