package operatorconfig

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestUnknownClusterKeyNamesAllKeys: the hint has every key of the section.
func TestUnknownClusterKeyNamesAllKeys(t *testing.T) {
	path := filepath.Join(t.TempDir(), "operator.toml")
	if err := os.WriteFile(path, []byte("[fleet]\nname = \"a\"\nbind = \"127.0.0.1:7946\"\nwhat = 1\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := Read(path)
	if err == nil {
		t.Fatal("an unknown key was accepted")
	}
	for _, key := range []string{
		"name", "bind", "advertise", "seeds", "period_s", "forget_s", "whole", "discovery", "ledger", "lease_s",
	} {
		if !strings.Contains(err.Error(), key) {
			t.Errorf("%s is missing in %v", key, err)
		}
	}
}
