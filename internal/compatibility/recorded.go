package compatibility

import (
	"bytes"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"testing"
)

// Variable is the environment variable which, if it is not empty, makes Record write missing files.
const Variable = "CINDERROAD_RECORD_COMPATIBILITY"

// The folders of recorded files, relative to the running test.
const (
	SharedFolder  Folder = "testdata"               // of this package, for its own tests
	PackageFolder Folder = "testdata/compatibility" // of any other package
)

// Folder holds recorded files.
type Folder string

// Read returns the recorded file of a name; the test fails if there is none.
func (f Folder) Read(t testing.TB, name string) []byte {
	t.Helper()
	recorded, err := os.ReadFile(filepath.Join(string(f), name))
	if err != nil {
		t.Fatal(err)
	}
	return recorded
}

// Record returns the recorded file of a name. If there is none and Variable is set, it records the given bytes first.
func (f Folder) Record(t testing.TB, name string, encoded []byte) []byte {
	t.Helper()
	path := filepath.Join(string(f), name)
	if _, err := os.Stat(path); errors.Is(err, fs.ErrNotExist) && os.Getenv(Variable) != "" {
		if err := os.MkdirAll(filepath.Dir(path), 0o750); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, encoded, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return f.Read(t, name)
}

// Check fails the test unless the bytes equal the recorded file of a name, which it returns.
func (f Folder) Check(t testing.TB, name string, encoded []byte) []byte {
	t.Helper()
	recorded := f.Record(t, name, encoded)
	if !bytes.Equal(encoded, recorded) {
		t.Errorf("%s: the encoding is another one\n%q\nwant\n%q", name, encoded, recorded)
	}
	return recorded
}
