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
var errUnknownForm = errors.New("neither a known entry of an audit log nor an answer of a request log")

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
		text = bytes.TrimSpace(text)
		if len(text) > 0 {
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

var errLineTooLong = errors.New("line too long")

// readLine reads a line. One that is too long is skipped.
func readLine(reader *bufio.Reader) (line []byte, err error) {
	long := false
	for {
		chunk, err := reader.ReadSlice('\n')
		if !long {
			line = append(line, chunk...)
		}
		if len(line) > maxLineLength {
			line = nil
			long = true
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
	Time       float64             `json:"time"` // of the answer
	Dispatcher string              `json:"by"`
	ID         string              `json:"id"`
	Verdict    string              `json:"verdict"`
	DurationMS float64             `json:"took_ms"`
	Mark       string              `json:"mark"` // the dispatcher's generation, a point, and the last entry in force
	Attempts   []requestLogAttempt `json:"tries"`
}

// requestLogAttempt is an attempt in a line of the request log.
type requestLogAttempt struct {
	Node   string  `json:"node"`
	SentMS float64 `json:"sent_ms"` // since the request's arrival
	Mark   uint64  `json:"mark"`
}

// parseLine parses a line of either log. entry and send may be nil.
func parseLine(text []byte, entry func(*Entry), send func(*Attempt)) error {
	isAnswer := bytes.Contains(text, []byte(`"verdict":`)) && !bytes.Contains(text, []byte(`"what":`))
	if !isAnswer {
		return parseEntry(text, entry)
	}
	if send == nil {
		return nil
	}
	return parseAnswer(text, send)
}

// parseAnswer parses a line of the request log.
func parseAnswer(text []byte, send func(*Attempt)) error {
	var answer requestLogLine
	if err := json.Unmarshal(text, &answer); err != nil {
		return err
	}
	generation, _, hasNumber := strings.Cut(answer.Mark, ".")
	isMarkValid := answer.Mark == "" || hasNumber && generation != ""
	if !validTime(answer.Time) || answer.Dispatcher == "" || !isMarkValid {
		return errUnknownForm
	}
	for _, attempt := range answer.Attempts {
		send(&Attempt{
			Dispatcher: answer.Dispatcher,
			Generation: generation,
			ID:         answer.ID,
			Node:       attempt.Node,
			At:         answer.Time + (attempt.SentMS-answer.DurationMS)/1000,
			Mark:       attempt.Mark,
		})
	}
	return nil
}

// parseEntry parses a line of an audit log. entry may be nil.
func parseEntry(text []byte, entry func(*Entry)) error {
	e := &Entry{}
	if err := json.Unmarshal(text, e); err != nil {
		return err
	}
	if !validTime(e.Time) || e.Dispatcher == "" || e.Generation == "" || e.Number == 0 || e.Kind == "" {
		return errUnknownForm
	}
	if !kinds[e.Kind] {
		return fmt.Errorf("entry of unknown kind %s", strconv.Quote(e.Kind))
	}
	if entry != nil {
		entry(e)
	}
	return nil
}

// ErrNoEntries is returned if no file holds an entry.
var ErrNoEntries = errors.New("no audit log among the files")

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

// maxTime is above every plausible Unix time in seconds.
const maxTime = 1e11

func validTime(t float64) bool { return t > 0 && t < maxTime && !math.IsNaN(t) }
