package hollow

import (
	"bytes"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// clockTick is the unit of processor times in /proc.
const clockTick = 10 * time.Millisecond

// Usage is what a process has taken so far.
type Usage struct {
	Processor time.Duration // user and system
	Anonymous int64         // resident bytes that belong to no file
	Resident  int64         // all resident bytes
}

// usageOf reads what the process with the number has taken.
func usageOf(pid int) (Usage, error) {
	folder := "/proc/" + strconv.Itoa(pid)
	stat, err := os.ReadFile(folder + "/stat")
	if err != nil {
		return Usage{}, errors.Wrap(err, "usage of a process")
	}
	status, err := os.ReadFile(folder + "/status")
	if err != nil {
		return Usage{}, errors.Wrap(err, "usage of a process")
	}
	processor, err := processorTime(stat)
	if err != nil {
		return Usage{}, err
	}
	return Usage{
		Processor: processor,
		Anonymous: kilobytes(status, "RssAnon:"),
		Resident:  kilobytes(status, "VmRSS:"),
	}, nil
}

// processorTime reads the user and system times of a line of /proc/PID/stat.
func processorTime(stat []byte) (time.Duration, error) {
	const user, system = 11, 12 // fields after the name, which is in parentheses
	end := bytes.LastIndexByte(stat, ')')
	if end < 0 {
		return 0, errors.New("a line of processor times without a name")
	}
	fields := strings.Fields(string(stat[end+1:]))
	if len(fields) <= system {
		return 0, errors.New("a line of processor times that is too short")
	}
	var ticks int64
	for _, field := range []string{fields[user], fields[system]} {
		n, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			return 0, errors.Wrap(err, "processor time")
		}
		ticks += n
	}
	return time.Duration(ticks) * clockTick, nil
}

func kilobytes(status []byte, name string) int64 {
	for line := range strings.Lines(string(status)) {
		if rest, found := strings.CutPrefix(line, name); found {
			n, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return n << 10
		}
	}
	return 0
}

// loopbackBytes is how much the loopback interface of this network namespace has carried.
func loopbackBytes() (int64, error) {
	data, err := os.ReadFile("/proc/net/dev")
	if err != nil {
		return 0, errors.Wrap(err, "traffic")
	}
	for line := range strings.Lines(string(data)) {
		if rest, found := strings.CutPrefix(strings.TrimSpace(line), "lo:"); found {
			n, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return n, errors.Wrap(err, "traffic")
		}
	}
	return 0, errors.New("no loopback interface")
}
