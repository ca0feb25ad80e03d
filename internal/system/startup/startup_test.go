package startup

import (
	"bytes"
	"testing"

	"go.uber.org/zap/zapcore"
)

func exampleProgram() *Program {
	return &Program{
		Name:        "cinderroad-example",
		Description: "An example.",
		Version:     "example 7",
		LogLevel:    zapcore.WarnLevel,
		GCPercent:   100,
	}
}

func TestLogLevelFlag(t *testing.T) {
	cases := map[string]struct {
		arguments []string
		want      zapcore.Level
	}{
		"the program's own":            {nil, zapcore.WarnLevel},
		"named":                        {[]string{"--log-level", "debug"}, zapcore.DebugLevel},
		"named by the flag's old name": {[]string{"--log=error"}, zapcore.ErrorLevel},
	}
	for name, c := range cases {
		var flags commandLine
		if _, err := exampleProgram().parser(&flags).Parse(c.arguments); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if flags.LogLevel != c.want {
			t.Errorf("%s: level %v, want %v", name, flags.LogLevel, c.want)
		}
	}
}

func TestParseRejectsMalformedCommandLines(t *testing.T) {
	for _, arguments := range [][]string{{"--log-level", "loud"}, {"--unknown"}, {"argument"}} {
		var flags commandLine
		if _, err := exampleProgram().parser(&flags).Parse(arguments); err == nil {
			t.Errorf("%q was accepted", arguments)
		}
	}
}

func TestVersionFlag(t *testing.T) {
	var flags commandLine
	var output bytes.Buffer
	status := -1
	parser := exampleProgram().parser(&flags)
	parser.Stdout = &output
	parser.Exit = func(code int) { status = code }
	if _, err := parser.Parse([]string{"--version"}); err != nil {
		t.Fatal(err)
	}
	if output.String() != "example 7\n" || status != 0 {
		t.Errorf("printed %q, status %d", output.String(), status)
	}
}
