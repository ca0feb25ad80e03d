package replica

import (
	"errors"
	"strings"
	"testing"
)

func TestUnknownOutcomeErrorWithoutCause(t *testing.T) {
	bare := &UnknownOutcomeError{Partition: 2}
	if text := bare.Error(); strings.Contains(text, "nil") || !strings.Contains(text, "partition 2 took the command;") {
		t.Errorf("without a cause: %q", text)
	}
	caused := &UnknownOutcomeError{Partition: 2, Cause: errors.New("it was cut off")}
	if text := caused.Error(); !strings.Contains(text, "(it was cut off)") {
		t.Errorf("with a cause: %q", text)
	}
}
