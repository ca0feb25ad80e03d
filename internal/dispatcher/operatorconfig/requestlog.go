package operatorconfig

import (
	"errors"
	"fmt"
)

// RequestLog is the section [request_log]: the log with a line for each final answer.
type RequestLog struct {
	Path      string `toml:"path"`
	MaxBytes  int64  `toml:"max_bytes"` // of one file; then it is rotated
	KeepFiles *int   `toml:"keep"`      // rotated files to retain; never nil in a checked Config
}

// Defaults of the section [request_log], as in deploy/operator.toml.
const (
	DefaultLogBytes     = 64 << 20
	DefaultLogKeepFiles = 4
)

// Bounds of the section [request_log].
const (
	minLogBytes     = 4096
	maxLogKeepFiles = 1000
)

// validate checks the section and applies defaults.
func (l *RequestLog) validate(errorAt keyErrorFunc) error {
	if l.Path == "" {
		return errorAt("path", errors.New("is required"))
	}
	if l.MaxBytes == 0 {
		l.MaxBytes = DefaultLogBytes
	}
	if l.MaxBytes < minLogBytes {
		return errorAt("max_bytes", fmt.Errorf("%d is below %d", l.MaxBytes, minLogBytes))
	}
	if l.KeepFiles == nil {
		files := DefaultLogKeepFiles
		l.KeepFiles = &files
	}
	if *l.KeepFiles < 0 || *l.KeepFiles > maxLogKeepFiles {
		return errorAt("keep", fmt.Errorf("%d is not within 0 and %d", *l.KeepFiles, maxLogKeepFiles))
	}
	return nil
}
