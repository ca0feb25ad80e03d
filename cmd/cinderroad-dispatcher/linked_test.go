package main

import (
	"debug/elf"
	"errors"
	"os"
	"testing"
)

// TestBinaryLinkedDynamically guards against a build that leaves the C library out: the platform loads a library of its own
// into the process. The program is built before the tests, by the README's command.
func TestBinaryLinkedDynamically(t *testing.T) {
	f, err := elf.Open("../../bin/cinderroad-dispatcher")
	if errors.Is(err, os.ErrNotExist) {
		t.Skip("bin/cinderroad-dispatcher is not built")
	}
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	libs, err := f.ImportedLibraries()
	if err != nil || len(libs) == 0 {
		t.Errorf("bin/cinderroad-dispatcher names no shared library (%v)", err)
	}
}
