package operatorconfig

import (
	"errors"
	"fmt"
)

// RequestLog is where a line for each final answer goes.
type RequestLog struct {
	Path      string `toml:"path"`
	MaxBytes  int64  `toml:"max_bytes"`
	KeepFiles *int   `toml:"keep"`
}

// The defaults of the request log, which deploy/operator.toml tells, too.
const (
	DefaultLogBytes     = 64 << 20
	DefaultLogKeepFiles = 4 // files
)

// Bounds of the request log's keys.
const (
	minLogBytes     = 4096
	maxLogKeepFiles = 1000 // files
)

func (l *RequestLog) validate(errorAt keyErrorFunc) error {
	if l.Path == "" {
		return errorAt("path", errors.New("must be there"))
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
