package replica

import (
	"testing"

	"cinderroad/internal/system/consensus"
)

// TestMessageRouting checks that large entries use a connection of their own, that what follows them keeps its order
// or overtakes without referring to them, and that nothing is sent twice.
func TestMessageRouting(t *testing.T) {
	entry := func(index, term uint64, bytes int) consensus.Message {
		return consensus.Message{
			Kind:    consensus.MessageAppend,
			Term:    term,
			Index:   index - 1,
			LogTerm: term,
			Round:   7,
			Entries: []consensus.Entry{{Index: index, Term: term, Data: make([]byte, bytes)}},
		}
	}
	under := &bulkTransfer{lastEntry: consensus.Entry{Index: 5, Term: 2}}
	tests := []struct {
		name    string
		under   *bulkTransfer
		message consensus.Message
		want    connectionKind
	}{
		{"a vote", under, consensus.Message{Kind: consensus.MessageVote}, ordinaryConnection},
		{"small entries", nil, entry(5, 2, 100), ordinaryConnection},
		{"large entries", nil, entry(5, 2, bulkThresholdBytes), bulkConnection},
		{"small entries behind large ones", under, entry(6, 2, 100), bulkConnection},
		{"entries that are under way", under, entry(5, 2, bulkThresholdBytes), noConnection},
		{"entries in place of those", under, entry(5, 3, 100), bulkConnection},
		{"a heartbeat", under, consensus.Message{Kind: consensus.MessageAppend, Index: 5, LogTerm: 2, Round: 7}, ordinaryConnection},
		{"announcement of a commit index", under, consensus.Message{Kind: consensus.MessageAppend, Index: 5, LogTerm: 2}, noConnection},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			way, message := test.under.route(&test.message)
			if way != test.want {
				t.Fatalf("lane %d, want %d", way, test.want)
			}
			overtakes := way == ordinaryConnection && test.under != nil && message.Kind == consensus.MessageAppend
			if overtakes && (message.Index != 0 || message.LogTerm != 0 || message.Round != test.message.Round) {
				t.Errorf("it asks about entry %d of term %d in round %d", message.Index, message.LogTerm, message.Round)
			}
		})
	}
}
