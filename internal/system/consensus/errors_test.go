package consensus

import (
	"strings"
	"testing"
)

// TestLearnerBehindErrorNamesTheReplica: by the same digits as logs and the status do.
func TestLearnerBehindErrorNamesTheReplica(t *testing.T) {
	id := ReplicaID(0xbeef)
	err := &LearnerBehindError{ID: id, Match: 3, Target: 9}
	if !strings.Contains(err.Error(), "replica "+id.Hex()+" ") {
		t.Errorf("%q does not have %s", err, id.Hex())
	}
}
