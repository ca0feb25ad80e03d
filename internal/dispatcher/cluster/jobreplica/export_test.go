package jobreplica

import (
	"math"

	"cinderroad/internal/system/consensus"
)

// ForgeVariants makes other valid datagrams, with correct checksums, of one that holds a complete message: what a faulty or
// malicious replica could send. The names decide the order of the mutations, and so which of them a stride of
// mutate.Options plays.
func ForgeVariants(datagram []byte) map[string][]byte {
	var original fragment
	if fragmentDecoder.Unmarshal(datagram[datagramHeaderBytes:], &original) != nil || original.Count != 1 {
		return nil
	}
	forged := map[string][]byte{}
	add := func(name string, part fragment) {
		forged[name] = encodeFragment(&part)
	}
	other := original
	other.Cluster = "another"
	add("fleet", other)
	other = original
	other.Index = 1
	other.Count = 3
	add("page", other)
	other = original
	other.Data = original.Data[:len(original.Data)/2]
	add("half", other)
	for name, change := range forgeries {
		decoded, err := decodeEnvelope(original.Data)
		if err != nil {
			return forged
		}
		if decoded.kind != kindConsensus {
			continue
		}
		change(&decoded.message)
		other := original
		other.Data = decoded.encode()
		add(name, other)
	}
	forgeEnvelopes(original, add)
	return forged
}

// forgeries change messages of the consensus.
var forgeries = map[string]func(m *consensus.Message){
	"older term": func(m *consensus.Message) { m.Term = max(m.Term, 1) - 1 },
	"newer term": func(m *consensus.Message) { m.Term++ },
	"last term":  func(m *consensus.Message) { m.Term = math.MaxUint64 },
	"index":      func(m *consensus.Message) { m.Index++ },
	"last index": func(m *consensus.Message) { m.Index = math.MaxUint64 },
	"log term":   func(m *consensus.Message) { m.LogTerm++ },
	"commit":     func(m *consensus.Message) { m.Commit = math.MaxUint64 },
	"reject":     func(m *consensus.Message) { m.Reject = !m.Reject },
	"sender":     func(m *consensus.Message) { m.From = m.From%4 + 1 },
	"kind":       func(m *consensus.Message) { m.Kind = consensus.MessageTimeoutNow },
	"hint":       func(m *consensus.Message) { m.RejectHint = math.MaxUint64 },
	"round":      func(m *consensus.Message) { m.Round = math.MaxUint64 },
	"force":      func(m *consensus.Message) { m.Force = !m.Force },
	"no entries": func(m *consensus.Message) { m.Entries = nil },
	"entry's term": func(m *consensus.Message) {
		for i := range m.Entries {
			m.Entries[i].Term++
		}
	},
}

// forgeEnvelopes changes the other messages.
func forgeEnvelopes(original fragment, add func(name string, original fragment)) {
	decoded, err := decodeEnvelope(original.Data)
	if err != nil || decoded.kind == kindConsensus {
		return
	}
	with := func(name string, change func(decoded *envelope)) {
		decoded, _ := decodeEnvelope(original.Data)
		change(decoded)
		other := original
		other.Data = decoded.encode()
		add(name, other)
	}
	with("sender", func(decoded *envelope) { decoded.from = decoded.from%4 + 1 })
	with("command", func(decoded *envelope) {
		decoded.command = append([]byte(nil), decoded.command[:len(decoded.command)/2]...)
	})
	with("told index", func(decoded *envelope) { decoded.appliedIndex = math.MaxUint64 })
}
