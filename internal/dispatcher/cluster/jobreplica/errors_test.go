package jobreplica_test

import (
	"errors"
	"os"
	"strings"
	"testing"

	"cinderroad/internal/dispatcher/cluster/jobreplica"
	"cinderroad/internal/dispatcher/cluster/jobstate"
)

// TestErrorsAreDocumented: every error has a code and a remedy, and docs/promises.md has both.
func TestErrorsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../../../docs/promises.md")
	if err != nil {
		t.Fatal(err)
	}
	cause := errors.New("none")
	for _, coded := range []jobstate.CodedError{
		&jobreplica.NoMajorityError{},
		&jobreplica.NotReplicaError{},
		&jobreplica.StoppedError{Cause: cause},
		&jobreplica.CommandTooLongError{},
		&jobreplica.ReplacedError{},
	} {
		if coded.Code() == "" || coded.Remedy() == "" || !strings.Contains(string(page), "`"+coded.Code()+"`") ||
			!strings.Contains(string(page), coded.Remedy()) {
			t.Errorf("%T: code %q or its remedy is not on the page", coded, coded.Code())
		}
	}
}
