package emulator

import "testing"

func TestParseFault(t *testing.T) {
	for _, fault := range Faults() {
		if got, err := ParseFault(string(fault)); err != nil || got != fault {
			t.Errorf("%s: %v", fault, err)
		}
	}
	if _, err := ParseFault("rain"); err == nil {
		t.Error("a trouble that is none was read")
	}
}
