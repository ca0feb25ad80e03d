package requestlog

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
)

// Line is a line as a reader needs it.
type Line struct {
	Time       float64 `json:"time"`
	Dispatcher string  `json:"by"`
	ID         string  `json:"id"`
	Class      string  `json:"class"`
	Front      string  `json:"front"`
	Verdict    string  `json:"verdict"`
	Reason     string  `json:"reason"`
	DurationMS float64 `json:"took_ms"`
	Attempts   []struct {
		Node   string `json:"node"`
		Slot   string `json:"slot"`
		Result string `json:"result"`
		Copy   bool   `json:"copy"`
		Won    bool   `json:"won"`
	} `json:"tries"`
}

// Read reads a log and has each line told. A line that makes no sense is told to bad with its number, and left out.
func Read(r io.Reader, line func(Line), bad func(n int, err error)) error {
	in := bufio.NewScanner(r)
	in.Buffer(make([]byte, 64<<10), 1<<20)
	n := 0
	for in.Scan() {
		n++
		if len(in.Bytes()) == 0 {
			continue
		}
		var l Line
		if err := json.Unmarshal(in.Bytes(), &l); err != nil {
			bad(n, err)
			continue
		}
		line(l)
	}
	if err := in.Err(); err != nil {
		return fmt.Errorf("request log: line %d: %w", n+1, err)
	}
	return nil
}
