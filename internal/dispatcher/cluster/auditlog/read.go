package auditlog

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"strconv"
	"strings"
)

// Attempt is an attempt of a request, from the request log.
type Attempt struct {
	Dispatcher string
	Generation string
	ID         string
	Node       string
	At         float64 // by the dispatcher's clock
	Mark       uint64  // number of the last entry in force; 0: none given
}

const maxLineLength = 1 << 20 // bytes

// errUnknownForm is returned for a line that is neither an entry nor an answer.
var errUnknownForm = errors.New("neither an entry nor an answer of a form that is known here")

// Read reads an audit log, a request log, or both in one file, and calls entry and send for each entry and attempt;
// either may be nil. A malformed line is reported to bad with its number and skipped: an earlier process may have died
// while writing it.
func Read(r io.Reader, entry func(*Entry), send func(*Attempt), bad func(line int, err error)) error {
	reader := bufio.NewReaderSize(r, 64<<10)
	for number := 1; ; number++ {
		text, err := readLine(reader)
		if errors.Is(err, errLineTooLong) {
			bad(number, err)
			continue
		}
		complete := err == nil
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("ledger: line %d: %w", number, err)
		}
		if text = bytes.TrimSpace(text); len(text) > 0 {
			if err := parseLine(text, entry, send); err != nil {
				if !complete {
					err = fmt.Errorf("cut off: %w", err)
				}
				bad(number, err)
			}
		}
		if !complete {
			return nil
		}
	}
}

var errLineTooLong = errors.New("longer than any line that is written")

// readLine reads a line. One that is too long is skipped.
func readLine(reader *bufio.Reader) (line []byte, err error) {
	long := false
	for {
		chunk, err := reader.ReadSlice('\n')
		if !long {
			line = append(line, chunk...)
		}
		if len(line) > maxLineLength {
			line, long = nil, true
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err == nil && long:
			return nil, errLineTooLong
		}
		return line, err
	}
}

// requestLogLine is a line of the request log, as far as it is read here.
type requestLogLine struct {
	Time    float64 `json:"time"`
	By      string  `json:"by"`
	ID      string  `json:"id"`
	Verdict string  `json:"verdict"`
	Took    float64 `json:"took_ms"`
	Mark    string  `json:"mark"`
	Tries   []struct {
		Node string  `json:"node"`
		Sent float64 `json:"sent_ms"`
		Mark uint64  `json:"mark"`
	} `json:"tries"`
}

func parseLine(text []byte, entry func(*Entry), send func(*Attempt)) error {
	if bytes.Contains(text, []byte(`"verdict":`)) && !bytes.Contains(text, []byte(`"what":`)) {
		if send == nil {
			return nil
		}
		var answer requestLogLine
		if err := json.Unmarshal(text, &answer); err != nil {
			return err
		}
		life, _, marked := strings.Cut(answer.Mark, ".")
		if !validTime(answer.Time) || answer.By == "" || answer.Mark != "" && (!marked || life == "") {
			return errUnknownForm
		}
		for _, t := range answer.Tries {
			send(&Attempt{Dispatcher: answer.By, Generation: life, ID: answer.ID, Node: t.Node, At: answer.Time + (t.Sent-answer.Took)/1000, Mark: t.Mark})
		}
		return nil
	}
	e := &Entry{}
	if err := json.Unmarshal(text, e); err != nil {
		return err
	}
	if !validTime(e.Time) || e.Dispatcher == "" || e.Generation == "" || e.Number == 0 || e.Kind == "" {
		return errUnknownForm
	}
	if !kinds[e.Kind] {
		return fmt.Errorf("an entry of a kind that is not known here: %s", strconv.Quote(e.Kind))
	}
	if entry != nil {
		entry(e)
	}
	return nil
}

// ErrNoEntries is returned if no file holds an entry.
var ErrNoEntries = errors.New("no ledger among these files")

// AuditFiles audits audit logs and request logs. Each file is read twice: for what the dispatchers knew, then for the
// attempts. skip is called in the first pass for each line that is skipped, and with line 0 for each file that cannot
// be opened: the rest may suffice.
func AuditFiles(rules Rules, files []string, skip func(file string, line int, err error)) (*Report, error) {
	auditor := NewAuditor(rules)
	pass := func(entry func(*Entry), send func(*Attempt), skip func(file string, line int, err error)) error {
		for _, name := range files {
			f, err := os.Open(name)
			if err != nil {
				skip(name, 0, err)
				continue
			}
			err = Read(f, entry, send, func(line int, err error) { skip(name, line, err) })
			f.Close()
			if err != nil {
				return fmt.Errorf("%s: %w", name, err)
			}
		}
		return nil
	}
	if err := pass(auditor.AddEntry, nil, skip); err != nil {
		return nil, err
	}
	if len(auditor.byGeneration) == 0 {
		return nil, ErrNoEntries
	}
	auditor.Finish()
	if err := pass(nil, auditor.CheckAttempt, func(string, int, error) {}); err != nil {
		return nil, err
	}
	return auditor.Report(), nil
}

func validTime(t float64) bool { return t > 0 && t < 1e11 && !math.IsNaN(t) }
