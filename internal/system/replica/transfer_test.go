package replica

import (
	"testing"

	"cinderroad/internal/system/consensus"
)

// TestLanes: large entries have a connection of their own, what follows them keeps its place or overtakes without
// asking about them, and nothing is sent twice.
func TestLanes(t *testing.T) {
	entry := func(index, term uint64, bytes int) consensus.Message {
		return consensus.Message{Kind: consensus.MessageAppend, Term: term, Index: index - 1, LogTerm: term, Round: 7,
			Entries: []consensus.Entry{{Index: index, Term: term, Data: make([]byte, bytes)}}}
	}
	under := &transfer{last: consensus.Entry{Index: 5, Term: 2}}
	tests := []struct {
		name    string
		under   *transfer
		message consensus.Message
		want    lane
	}{
		{"a vote", under, consensus.Message{Kind: consensus.MessageVote}, ordinaryLane},
		{"small entries", nil, entry(5, 2, 100), ordinaryLane},
		{"large entries", nil, entry(5, 2, bulkBytes), bulkLane},
		{"small entries behind large ones", under, entry(6, 2, 100), bulkLane},
		{"entries that are under way", under, entry(5, 2, bulkBytes), noLane},
		{"entries in place of those", under, entry(5, 3, 100), bulkLane},
		{"a heartbeat", under, consensus.Message{Kind: consensus.MessageAppend, Index: 5, LogTerm: 2, Round: 7}, ordinaryLane},
		{"word of a commit", under, consensus.Message{Kind: consensus.MessageAppend, Index: 5, LogTerm: 2}, noLane},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			way, message := test.under.laneOf(&test.message)
			if way != test.want {
				t.Fatalf("lane %d, want %d", way, test.want)
			}
			overtakes := way == ordinaryLane && test.under != nil && message.Kind == consensus.MessageAppend
			if overtakes && (message.Index != 0 || message.LogTerm != 0 || message.Round != test.message.Round) {
				t.Errorf("it asks about entry %d of term %d in round %d", message.Index, message.LogTerm, message.Round)
			}
		})
	}
}
