package linelog

import (
	"errors"
	"os"
	"strconv"
	"time"

	"golang.org/x/sys/unix"
)

func (l *Log) open() error {
	file, err := os.OpenFile(l.options.Path, os.O_CREATE|os.O_APPEND|os.O_RDWR, 0o640)
	if err != nil {
		return err
	}
	info, err := file.Stat()
	if err != nil {
		file.Close()
		return err
	}
	l.file = file
	l.size = info.Size()
	// An earlier process may have been killed in the middle of a line.
	var last [1]byte
	if l.size > 0 {
		if _, err := file.ReadAt(last[:], l.size-1); err == nil && last[0] != '\n' {
			n, _ := file.Write([]byte{'\n'})
			l.size += int64(n)
		}
	}
	return nil
}

// write appends complete lines; a partial write to a full disk is truncated again.
func (l *Log) write(b []byte) error {
	if l.file == nil {
		if time.Now().Before(l.reopenAt) {
			return errors.New("not open")
		}
		if err := l.open(); err != nil {
			l.reopenAt = time.Now().Add(reopenDelay)
			return err
		}
	}
	if l.options.MaxBytes > 0 && l.size > 0 && l.size+int64(len(b)) > l.options.MaxBytes {
		if err := l.rotate(); err != nil {
			return err
		}
	}
	n, err := l.file.Write(b)
	l.size += int64(n)
	if err != nil && n > 0 {
		// If the other process of an upgrade has written behind our lines, only a line break can separate them.
		if info, e := l.file.Stat(); e == nil && info.Size() == l.size {
			if l.file.Truncate(l.size-int64(n)) == nil {
				l.size -= int64(n)
			}
		}
	}
	return err
}

// rotate renames the files, unless another process of this dispatcher has done so; the holder of the file lock may.
func (l *Log) rotate() error {
	if err := unix.Flock(int(l.file.Fd()), unix.LOCK_EX); err != nil { // released by closing the file
		return err
	}
	mine, err := l.file.Stat()
	if err != nil {
		return err
	}
	if current, err := os.Stat(l.options.Path); err == nil && os.SameFile(mine, current) {
		if err := l.renameFiles(); err != nil {
			return err
		}
	}
	l.file.Close()
	l.file = nil
	return l.open()
}

// renameFiles frees the log's path: it renames the file and the rotated ones, or removes the file if none are kept.
func (l *Log) renameFiles() error {
	path := l.options.Path
	if l.options.KeepFiles == 0 {
		return os.Remove(path)
	}
	for i := l.options.KeepFiles; i > 0; i-- {
		from := path
		if i > 1 {
			from += "." + strconv.Itoa(i-1)
		}
		if err := os.Rename(from, path+"."+strconv.Itoa(i)); err != nil && !errors.Is(err, os.ErrNotExist) {
			return err
		}
	}
	return nil
}
