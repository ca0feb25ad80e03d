package jobreplica

import (
	"bytes"
	"testing"

	"cinderroad/internal/system/consensus"
)

func TestEnvelopeRoundTrip(t *testing.T) {
	for _, e := range []envelope{
		{kind: kindConsensus, from: 1, to: 2, message: consensus.Message{Kind: consensus.MessageVote, From: 1, To: 2, Term: 3}},
		{kind: kindPropose, from: 1, to: 2, command: []byte("x")},
		{kind: kindPropose, from: 1, to: 2, command: []byte{}},
		{kind: kindReplaced, from: 1, to: 2, appliedIndex: 9},
	} {
		data := e.encode()
		decoded, err := decodeEnvelope(data)
		if err != nil || decoded.kind != e.kind || decoded.from != 1 || decoded.to != 2 || decoded.appliedIndex != e.appliedIndex ||
			!bytes.Equal(decoded.command, e.command) || decoded.message.Term != e.message.Term {
			t.Errorf("%+v decoded as %+v, %v", e, decoded, err)
		}
		for n := range data {
			if short, err := decodeEnvelope(data[:n]); err == nil {
				t.Errorf("%+v truncated to %d bytes decoded as %+v", e, n, short)
			}
		}
	}
}

func FuzzEnvelope(f *testing.F) {
	f.Add((&envelope{kind: kindPropose, from: 1, to: 2, command: []byte("x")}).encode())
	f.Add((&envelope{kind: kindReplaced, from: 1, to: 2, appliedIndex: 9}).encode())
	f.Add((&envelope{message: consensus.Message{Kind: consensus.MessageAppend, From: 2, To: 1, Term: 3, Round: 1}}).encode())
	f.Fuzz(func(t *testing.T, data []byte) {
		decoded, err := decodeEnvelope(data)
		if err == nil && !bytes.Equal(decoded.encode(), data) {
			t.Errorf("%x decoded as %+v", data, decoded)
		}
		options := statelessOptions(Member{ID: 1})
		options.MaxCommandBytes = 64
		replica := New(0, options)
		replica.Step(1, data)
	})
}
