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

// listFiles returns the files of a spool, oldest first.
func listFiles(dir, name string) (files []spoolFile, err error) {
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
		files = append(files, spoolFile{filepath.Join(dir, e.Name()), n, info.Size()})
	}
	slices.SortFunc(files, func(x, y spoolFile) int { return cmp.Compare(x.number, y.number) })
	return files, nil
}
