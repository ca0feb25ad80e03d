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

// Send is an attempt as the request log tells it.
type Send struct {
	By   string
	Life string
	ID   string
	Node string
	At   float64 // by the dispatcher's clock
	Mark uint64  // of the last entry in force; 0: none is told
}

const mostLine = 1 << 20 // bytes

// errOther is a line that is neither an entry nor an answer as they are known here.
var errOther = errors.New("neither an entry nor an answer of a form that is known here")

// Read reads a ledger, a request log or both in one file, and has each entry and each attempt told; either may be nil. A line
// that makes no sense is told to bad with its number, and left out: an earlier life may have died in the midst of it.
func Read(r io.Reader, entry func(*Entry), send func(*Send), bad func(line int, err error)) error {
	in := bufio.NewReaderSize(r, 64<<10)
	for n := 1; ; n++ {
		text, err := readLine(in)
		if errors.Is(err, errLong) {
			bad(n, err)
			continue
		}
		whole := err == nil
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("ledger: line %d: %w", n, err)
		}
		if text = bytes.TrimSpace(text); len(text) > 0 {
			if err := take(text, entry, send); err != nil {
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

var errLong = errors.New("longer than any line that is written")

// readLine reads up to a line's end; one that is too long is passed over.
func readLine(in *bufio.Reader) (line []byte, err error) {
	long := false
	for {
		part, err := in.ReadSlice('\n')
		if !long {
			line = append(line, part...)
		}
		if len(line) > mostLine {
			line, long = nil, true
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err == nil && long:
			return nil, errLong
		}
		return line, err
	}
}

// answer is a line of the request log as far as it is read here.
type answer struct {
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

func take(text []byte, entry func(*Entry), send func(*Send)) error {
	if bytes.Contains(text, []byte(`"verdict":`)) && !bytes.Contains(text, []byte(`"what":`)) {
		if send == nil {
			return nil
		}
		var a answer
		if err := json.Unmarshal(text, &a); err != nil {
			return err
		}
		life, _, marked := strings.Cut(a.Mark, ".")
		if !sane(a.Time) || a.By == "" || a.Mark != "" && (!marked || life == "") {
			return errOther
		}
		for _, t := range a.Tries {
			send(&Send{By: a.By, Life: life, ID: a.ID, Node: t.Node, At: a.Time + (t.Sent-a.Took)/1000, Mark: t.Mark})
		}
		return nil
	}
	e := &Entry{}
	if err := json.Unmarshal(text, e); err != nil {
		return err
	}
	if !sane(e.Time) || e.By == "" || e.Life == "" || e.N == 0 || e.What == "" {
		return errOther
	}
	if !whats[e.What] {
		return fmt.Errorf("an entry of a kind that is not known here: %s", strconv.Quote(e.What))
	}
	if entry != nil {
		entry(e)
	}
	return nil
}

// ErrNone is that no file holds an entry.
var ErrNone = errors.New("no ledger among these files")

// Files audits ledgers and request logs. Each is read twice: what the members held first, then what they sent by it. left hears,
// in the first, of each line that is left out, and of each file that cannot be opened as of its line 0: the rest may say enough.
func Files(rules Rules, files []string, left func(file string, line int, err error)) (*Report, error) {
	a := NewAudit(rules)
	pass := func(entry func(*Entry), send func(*Send), left func(file string, line int, err error)) error {
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
	if err := pass(a.Entry, nil, left); err != nil {
		return nil, err
	}
	if len(a.byName) == 0 {
		return nil, ErrNone
	}
	a.Close()
	if err := pass(nil, a.Send, func(string, int, error) {}); err != nil {
		return nil, err
	}
	return a.Report(), nil
}

func sane(t float64) bool { return t > 0 && t < 1e11 && !math.IsNaN(t) }
