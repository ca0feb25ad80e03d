package compatibility

import (
	"bytes"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"testing"
)

// Variable is the environment variable that has missing files written.
const Variable = "CINDERROAD_RECORD_COMPATIBILITY"

// Here is where this package's files are; other packages have theirs in Elsewhere.
const (
	Here      Folder = "testdata"
	Elsewhere Folder = "testdata/compatibility"
)

// Folder holds recorded files.
type Folder string

// Read returns what is recorded under a name.
func (f Folder) Read(t testing.TB, name string) []byte {
	t.Helper()
	recorded, err := os.ReadFile(filepath.Join(string(f), name))
	if err != nil {
		t.Fatal(err)
	}
	return recorded
}

// Record returns what is recorded under a name. Nothing is, and it was asked for: these bytes are from now on.
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

// Check fails unless bytes are those recorded under a name, which it returns.
func (f Folder) Check(t testing.TB, name string, encoded []byte) []byte {
	t.Helper()
	recorded := f.Record(t, name, encoded)
	if !bytes.Equal(encoded, recorded) {
		t.Errorf("%s: the encoding is another one\n%q\nwant\n%q", name, encoded, recorded)
	}
	return recorded
}
