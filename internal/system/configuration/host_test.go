package configuration

import "testing"

func TestNormalizeHost(t *testing.T) {
	for host, want := range map[string]string{
		"A.Example":     "a.example",
		"a.example:80":  "a.example",
		"a.example.":    "a.example",
		"a.example.:80": "a.example",
		"[::1]:80":      "::1",
		"[::1]":         "::1",
		"":              "",
	} {
		if got := NormalizeHost(host); got != want {
			t.Errorf("%q became %q, want %q", host, got, want)
		}
	}
}
