package processconfig

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
)

func TestLoad(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, []byte(edgeSettings), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv(PathVariable, path)
	if settings, err := Load(); err != nil || settings.Node != "edge-north-a-1" {
		t.Fatalf("got %v, %v", settings, err)
	}
	t.Setenv(PathVariable, "")
	var missing *MissingPathError
	if _, err := Load(); !errors.As(err, &missing) {
		t.Fatalf("got %v, want a MissingPathError", err)
	}
}
