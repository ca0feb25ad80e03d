package jobreplica

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"cinderroad/internal/compatibility"
	"cinderroad/internal/system/consensus"
)

// TestReadsEnvelopes: messages between replicas, one of each kind. Package compatibility records their datagrams.
func TestReadsEnvelopes(t *testing.T) {
	for name, e := range map[string]*envelope{
		"agreement": {
			kind:    kindConsensus,
			from:    1,
			to:      1 << 63,
			message: consensus.Message{Kind: consensus.MessageVote, From: 1, To: 1 << 63, Term: 3},
		},
		"propose": {kind: kindPropose, from: 2, to: 3, command: []byte("command")},
		"gone":    {kind: kindReplaced, from: 4, to: 5, appliedIndex: 1 << 40},
	} {
		recorded := compatibility.PackageFolder.Check(t, name, e.encode())
		got, err := decodeEnvelope(recorded)
		if err != nil {
			t.Fatal(name, err)
		}
		if d := cmp.Diff(e, got, cmp.AllowUnexported(envelope{})); d != "" {
			t.Errorf("%s: %s", name, d)
		}
	}
}

// TestRequestsMissingFragments: a receiver requests a lost fragment, and the sender sends it again.
func TestRequestsMissingFragments(t *testing.T) {
	sender, receiver := NewFragmenter("fleet", 1, 1<<20), NewFragmenter("fleet", 2, 1<<20)
	message := make([]byte, 2*fragmentBytes)
	datagrams := sender.Fragment(Outgoing{To: 2, Data: message})
	if _, err := receiver.Reassemble(datagrams[0]); err != nil {
		t.Fatal(err)
	}
	requests := receiver.Tick(1)
	if len(requests) != 1 {
		t.Fatalf("%d datagrams", len(requests))
	}
	if _, err := sender.Reassemble(compatibility.PackageFolder.Check(t, "ask", requests[0].Data)); err != nil {
		t.Fatal(err)
	}
	resent := sender.Tick(1)
	if len(resent) != 1 {
		t.Fatalf("%d fragments sent again", len(resent))
	}
	got, err := receiver.Reassemble(resent[0].Data)
	if err != nil || len(got) != len(message) {
		t.Errorf("%d bytes, %v", len(got), err)
	}
}
