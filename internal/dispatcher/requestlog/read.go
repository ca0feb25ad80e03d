package requestlog

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
)

// Line is a line of the log, as far as readers need it.
type Line struct {
	Time       float64       `json:"time"`
	Dispatcher string        `json:"by"`
	ID         string        `json:"id"`
	Class      string        `json:"class"`
	Front      string        `json:"front"`
	Verdict    string        `json:"verdict"`
	Reason     string        `json:"reason"`
	DurationMS float64       `json:"took_ms"`
	Attempts   []LineAttempt `json:"tries"`
}

// LineAttempt is an attempt within a line.
type LineAttempt struct {
	Node   string `json:"node"`
	Slot   string `json:"slot"`
	Result string `json:"result"`
	Hedged bool   `json:"copy"`
	Won    bool   `json:"won"`
}

// The scanner's buffer, in bytes; a longer line is an error.
const (
	initialLineBytes = 64 << 10
	maxLineBytes     = 1 << 20
)

// Read calls line for each line of a log. A malformed line is reported to bad with its number and skipped.
func Read(r io.Reader, line func(Line), bad func(number int, err error)) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, initialLineBytes), maxLineBytes)
	number := 0
	for scanner.Scan() {
		number++
		if len(scanner.Bytes()) == 0 {
			continue
		}
		var parsed Line
		if err := json.Unmarshal(scanner.Bytes(), &parsed); err != nil {
			bad(number, err)
			continue
		}
		line(parsed)
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("request log: line %d: %w", number+1, err)
	}
	return nil
}
