package spool

import (
	"cmp"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

type spoolFile struct {
	path   string
	number int
	size   int64
}

// listFiles finds the files of a spool, the oldest first.
func listFiles(dir, name string) (all []spoolFile, err error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, fmt.Errorf("spool: %w", err)
	}
	for _, e := range entries {
		rest, ok := strings.CutPrefix(e.Name(), name+".")
		n, err := strconv.Atoi(rest)
		if !ok || err != nil || n <= 0 || strconv.Itoa(n) != rest {
			continue
		}
		info, err := e.Info()
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err != nil {
			return nil, fmt.Errorf("spool: %w", err)
		}
		all = append(all, spoolFile{filepath.Join(dir, e.Name()), n, info.Size()})
	}
	slices.SortFunc(all, func(x, y spoolFile) int { return cmp.Compare(x.number, y.number) })
	return all, nil
}
