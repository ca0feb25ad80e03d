package jobreplica_test

import (
	"testing"

	"cinderroad/internal/dispatcher/cluster/jobreplica"
	"cinderroad/internal/dispatcher/cluster/jobstate"
)

func FuzzReassemble(f *testing.F) {
	sender := jobreplica.NewFragmenter("test", 1, 1<<16)
	for _, datagram := range sender.Fragment(jobreplica.Outgoing{To: 2, Data: make([]byte, 3000)}) {
		f.Add(datagram)
	}
	f.Fuzz(func(t *testing.T, datagram []byte) {
		message, err := jobreplica.NewFragmenter("test", 2, 1<<16).Reassemble(datagram)
		if err == nil && message != nil {
			replica := jobreplica.New(0, newOptions(jobreplica.Member{ID: 2}, 0, 3, &plantedStateMachine{
				jobstate.New(stateLimits),
				&simulation{},
			}))
			replica.Step(1, message)
		}
	})
}

func TestPartialMessagesAreBounded(t *testing.T) {
	sender, receiver := jobreplica.NewFragmenter("test", 1, 1<<16), jobreplica.NewFragmenter("test", 2, 1<<16)
	for range 1000 {
		for i, datagram := range sender.Fragment(jobreplica.Outgoing{To: 2, Data: make([]byte, 5000)}) {
			if i > 0 { // the first fragment is always lost
				if message, err := receiver.Reassemble(datagram); message != nil || err != nil {
					t.Fatal(message, err)
				}
			}
		}
	}
	if held := receiver.PartialBytes(); held > 1<<16+5000 || len(receiver.Tick(0)) != 0 {
		t.Errorf("%d bytes of incomplete messages", held)
	}
	for i, datagram := range sender.Fragment(jobreplica.Outgoing{To: 2, Data: make([]byte, 5000)}) {
		message, err := receiver.Reassemble(datagram)
		if err != nil || (message != nil) != (i == 4) {
			t.Errorf("fragment %d: %d bytes, %v", i, len(message), err)
		}
	}
}
