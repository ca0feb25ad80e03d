package replica

import (
	"bytes"
	"testing"

	"github.com/google/go-cmp/cmp"

	"cinderroad/internal/compatibility"
	"cinderroad/internal/system/consensus"
	"cinderroad/internal/system/feed"
)

// TestCallNamesUnchanged pins the names of the RPCs and the values of Outcome. Package compatibility records the messages.
func TestCallNamesUnchanged(t *testing.T) {
	got := []string{deliverCall.Name(), proposeCall.Name(), readIndexCall.Name(), joinCall.Name(), leaveCall.Name()}
	want := []string{"Replica.Deliver", "Replica.Propose", "Replica.ReadIndex", "Replica.Join", "Replica.Leave"}
	if d := cmp.Diff(want, got); d != "" {
		t.Error(d)
	}
	outcomes := []Outcome{OutcomeUnknown, OutcomeCommitted, OutcomeDropped}
	if d := cmp.Diff([]Outcome{0, 1, 2}, outcomes); d != "" {
		t.Error(d)
	}
}

// TestReadRecordedBatches checks that recorded batches, plain and packed, are still read. The packed bytes themselves may
// differ between releases of the compressor.
func TestReadRecordedBatches(t *testing.T) {
	type sent struct {
		Partition feed.Partition
		Message   consensus.Message
	}
	want := []sent{
		{0, consensus.Message{Kind: consensus.MessageAppend, From: 1, To: 2, Term: 7, Commit: 5, Round: 3}},
		{300, consensus.Message{
			Kind: consensus.MessageAppend,
			From: 1,
			To:   2,
			Term: 7,
			Entries: []consensus.Entry{
				{Index: 6, Term: 7, Data: bytes.Repeat([]byte("data"), 50_000)}},
		}},
	}
	var batch []byte
	for i := range want {
		batch = appendMessage(batch, want[i].Partition, &want[i].Message)
	}
	read := func(name string, request *DeliverRequest) {
		t.Helper()
		rest, err := request.decompress()
		if err != nil {
			t.Fatal(name, err)
		}
		var got []sent
		for len(rest) > 0 {
			var one sent
			if one.Partition, one.Message, rest, err = readMessage(rest); err != nil {
				t.Fatal(name, err)
			}
			got = append(got, one)
		}
		if d := cmp.Diff(want, got); d != "" {
			t.Errorf("%s: %s", name, d)
		}
	}
	packed := newDeliverRequest(batch)
	if len(packed.Packed) == 0 {
		t.Fatal("the batch was not packed")
	}
	read("now", packed)
	read("recorded", &DeliverRequest{Packed: compatibility.PackageFolder.Record(t, "packed", packed.Packed)})

	plain := appendMessage(nil, want[0].Partition, &want[0].Message)
	want = want[:1]
	read("plain", &DeliverRequest{Messages: compatibility.PackageFolder.Check(t, "plain", plain)})
}
