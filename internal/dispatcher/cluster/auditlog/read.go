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

// Attempt is an attempt as the request log tells it.
type Attempt struct {
	Dispatcher string
	Generation string
	ID         string
	Node       string
	At         float64 // by the dispatcher's clock
	Mark       uint64  // of the last entry in force; 0: none is told
}

const maxLineLength = 1 << 20 // bytes

// errUnknownForm is a line that is neither an entry nor an answer as they are known here.
var errUnknownForm = errors.New("neither an entry nor an answer of a form that is known here")

// Read reads a ledger, a request log or both in one file, and has each entry and each attempt told; either may be nil. A line
// that makes no sense is told to bad with its number, and left out: an earlier life may have died in the midst of it.
func Read(r io.Reader, entry func(*Entry), send func(*Attempt), bad func(line int, err error)) error {
	in := bufio.NewReaderSize(r, 64<<10)
	for n := 1; ; n++ {
		text, err := readLine(in)
		if errors.Is(err, errLineTooLong) {
			bad(n, err)
			continue
		}
		whole := err == nil
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("ledger: line %d: %w", n, err)
		}
		if text = bytes.TrimSpace(text); len(text) > 0 {
			if err := parseLine(text, entry, send); err != nil {
				if !whole {
					err = fmt.Errorf("cut off: %w", err)
				}
				bad(n, err)
			}
		}
		if !whole {
			return nil
		}
	}
}

var errLineTooLong = errors.New("longer than any line that is written")

// readLine reads up to a line's end; one that is too long is passed over.
func readLine(in *bufio.Reader) (line []byte, err error) {
	long := false
	for {
		part, err := in.ReadSlice('\n')
		if !long {
			line = append(line, part...)
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

// requestLogLine is a line of the request log as far as it is read here.
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
		var a requestLogLine
		if err := json.Unmarshal(text, &a); err != nil {
			return err
		}
		life, _, marked := strings.Cut(a.Mark, ".")
		if !validTime(a.Time) || a.By == "" || a.Mark != "" && (!marked || life == "") {
			return errUnknownForm
		}
		for _, t := range a.Tries {
			send(&Attempt{Dispatcher: a.By, Generation: life, ID: a.ID, Node: t.Node, At: a.Time + (t.Sent-a.Took)/1000, Mark: t.Mark})
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

// ErrNoEntries is that no file holds an entry.
var ErrNoEntries = errors.New("no ledger among these files")

// AuditFiles audits ledgers and request logs. Each is read twice: what the members held first, then what they sent by it. left hears,
// in the first, of each line that is left out, and of each file that cannot be opened as of its line 0: the rest may say enough.
func AuditFiles(rules Rules, files []string, left func(file string, line int, err error)) (*Report, error) {
	a := NewAuditor(rules)
	pass := func(entry func(*Entry), send func(*Attempt), left func(file string, line int, err error)) error {
		for _, name := range files {
			f, err := os.Open(name)
			if err != nil {
				left(name, 0, err)
				continue
			}
			err = Read(f, entry, send, func(line int, err error) { left(name, line, err) })
			f.Close()
			if err != nil {
				return fmt.Errorf("%s: %w", name, err)
			}
		}
		return nil
	}
	if err := pass(a.AddEntry, nil, left); err != nil {
		return nil, err
	}
	if len(a.byGeneration) == 0 {
		return nil, ErrNoEntries
	}
	a.Finish()
	if err := pass(nil, a.CheckAttempt, func(string, int, error) {}); err != nil {
		return nil, err
	}
	return a.Report(), nil
}

func validTime(t float64) bool { return t > 0 && t < 1e11 && !math.IsNaN(t) }
