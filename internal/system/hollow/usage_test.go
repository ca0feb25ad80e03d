package hollow

import (
	"os"
	"testing"
	"time"
)

func TestProcessorTime(t *testing.T) {
	const line = "7 (a) b) c) S 1 7 7 0 -1 4194560 100 0 0 0 12 30 0 0 20 0 1 0 100 0 0"
	got, err := processorTime([]byte(line))
	if err != nil || got != 420*time.Millisecond {
		t.Errorf("%v, %v", got, err)
	}
	for _, bad := range []string{"", "7 (a) S 1 2", "7 (a) S 1 7 7 0 -1 4194560 100 0 0 0 x 30 0"} {
		if got, err := processorTime([]byte(bad)); err == nil {
			t.Errorf("%q: %v without an error", bad, got)
		}
	}
}

func TestKilobytes(t *testing.T) {
	const status = "Name:\ta\nVmRSS:\t    2048 kB\nRssAnon:\t     512 kB\n"
	if got := kilobytes([]byte(status), "RssAnon:"); got != 512<<10 {
		t.Errorf("%d", got)
	}
	if got := kilobytes([]byte(status), "VmHWM:"); got != 0 {
		t.Errorf("%d of what is not there", got)
	}
}

func TestUsageOfThisProcess(t *testing.T) {
	got, err := usageOf(os.Getpid())
	if err != nil || got.Resident <= 0 || got.Anonymous <= 0 {
		t.Errorf("%+v, %v", got, err)
	}
	if _, err := usageOf(-1); err == nil {
		t.Error("a process that is not there has taken something")
	}
}
