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
	leastLogBytes = 4096
	mostLogKeep   = 1000 // files
)

func (l *RequestLog) check(wrong sectionError) error {
	if l.Path == "" {
		return wrong("path", errors.New("must be there"))
	}
	if l.MaxBytes == 0 {
		l.MaxBytes = DefaultLogBytes
	}
	if l.MaxBytes < leastLogBytes {
		return wrong("max_bytes", fmt.Errorf("%d is below %d", l.MaxBytes, leastLogBytes))
	}
	if l.KeepFiles == nil {
		files := DefaultLogKeepFiles
		l.KeepFiles = &files
	}
	if *l.KeepFiles < 0 || *l.KeepFiles > mostLogKeep {
		return wrong("keep", fmt.Errorf("%d is not within 0 and %d", *l.KeepFiles, mostLogKeep))
	}
	return nil
}
