package jobreplica_test

import (
	"testing"

	"cinderroad/internal/dispatcher/cluster/jobreplica"
)

// TestPartialMessagesOfManyFragmentsAreBounded: the first fragments of messages that claim many more take memory for all of
// them, which counts.
func TestPartialMessagesOfManyFragmentsAreBounded(t *testing.T) {
	const (
		limit        = 1 << 20
		messageBytes = 20 << 20 // 17,477 fragments, whose slice headers take 0.4 MB
	)
	sender := jobreplica.NewFragmenter("test", 1, limit)
	receiver := jobreplica.NewFragmenter("test", 2, limit)
	for range 10 {
		datagrams := sender.Fragment(jobreplica.Outgoing{To: 2, Data: make([]byte, messageBytes)})
		if message, err := receiver.Reassemble(datagrams[0]); message != nil || err != nil {
			t.Fatal(message, err)
		}
		if held := receiver.PartialBytes(); held > limit {
			t.Fatalf("%d bytes of incomplete messages", held)
		}
	}
	if requests := len(receiver.Tick(1)); requests != 2 {
		t.Errorf("%d incomplete messages are kept, want the 2 that fit", requests)
	}
}
