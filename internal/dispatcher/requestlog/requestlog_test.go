package requestlog

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"testing"

	"golang.org/x/sys/unix"
	"pgregory.net/rapid"

	"cinderroad/internal/dispatcher/dispatch"
	"cinderroad/internal/dispatcher/linelog"
	"cinderroad/loadbalancer"
)

func answerRecord(id string) *dispatch.AnswerRecord {
	return &dispatch.AnswerRecord{
		ID:             id,
		Front:          "platform",
		Class:          0,
		Verdict:        dispatch.Served,
		ArrivedAt:      100,
		AnsweredAt:     100.25,
		TargetAt:       101,
		StartedAt:      100.1,
		WinningAttempt: 1,
		Attempts: []dispatch.AttemptRecord{
			{MemberName: "a", SentAt: 100, EndedAt: 100.05, Result: loadbalancer.Rejected},
			{Attempt: 1, MemberName: "b", SentAt: 100.05, StartedAt: 100.1, EndedAt: 100.25, Hedged: true},
			{Attempt: 2, MemberName: "c", SentAt: 100.2},
		},
	}
}

func openLog(t *testing.T, o Options) *Log {
	t.Helper()
	o.DispatcherName = "n0"
	o.Classes = []string{"score"}
	l, err := Open(o)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func TestLogAnswer(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	l := openLog(t, Options{Path: path, NodeSlot: func(loadbalancer.WorkerID) string { return "m.k.0.1" }})
	l.LogAnswer(answerRecord("x"))
	l.LogAnswer(&dispatch.AnswerRecord{
		ID:             "y",
		Front:          "gearman",
		Class:          -1,
		Verdict:        dispatch.Rejected,
		Reason:         dispatch.ReasonNoCapacity,
		ArrivedAt:      100,
		AnsweredAt:     100,
		RetryAfter:     0.5,
		WinningAttempt: -1,
	})
	l.Close()
	want := `{"time":100.250000,"by":"n0","id":"x","class":"score","front":"platform","verdict":"in_time",` +
		`"took_ms":250.000,"start_ms":100.000,"tries":[` +
		`{"node":"a","slot":"m.k.0.1","sent_ms":0.000,"end_ms":50.000,"result":"full"},` +
		`{"node":"b","slot":"m.k.0.1","sent_ms":50.000,"start_ms":100.000,"end_ms":250.000,"result":"ok","copy":true,"won":true},` +
		`{"node":"c","slot":"m.k.0.1","sent_ms":200.000,"result":"out"}]}` + "\n" +
		`{"time":100.000000,"by":"n0","id":"y","class":"unknown","front":"gearman","verdict":"refused","reason":"no_room",` +
		`"took_ms":0.000,"come_back_s":0.500}` + "\n"
	if got, err := os.ReadFile(path); err != nil || string(got) != want {
		t.Errorf("%v\n%s\nwant\n%s", err, got, want)
	}
}

// TestAppendStringRoundTrip checks that any name becomes valid JSON on a single line.
func TestAppendStringRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.String().Draw(t, "name")
		var back string
		b := linelog.AppendString(nil, name)
		if err := json.Unmarshal(b, &back); err != nil || back != strings.ToValidUTF8(name, "\ufffd") || bytes.ContainsAny(b, "\n") {
			t.Fatalf("%q: %v %q", b, err, back)
		}
	})
}

// TestRotation checks the sizes and the number of files, and that no line is lost or split.
func TestRotation(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	l := openLog(t, Options{Path: path, MaxBytes: 4096, KeepFiles: 100})
	for i := range 200 {
		l.LogAnswer(answerRecord(fmt.Sprint(i)))
		if i%3 == 0 {
			l.Flush()
		}
	}
	l.Close()
	seen := map[string]bool{}
	for i := 100; i >= 0; i-- {
		name := path
		if i > 0 {
			name += fmt.Sprint(".", i)
		}
		f, err := os.Open(name)
		if err != nil {
			continue
		}
		if info, _ := f.Stat(); info.Size() > 4096 {
			t.Errorf("%s has %d bytes", name, info.Size())
		}
		if err := Read(f, func(l Line) { seen[l.ID] = true }, func(n int, err error) { t.Error(name, n, err) }); err != nil {
			t.Error(err)
		}
		f.Close()
	}
	if len(seen)+int(l.DroppedLines()) != 200 {
		t.Errorf("%d lines, %d lost", len(seen), l.DroppedLines())
	}
	few := filepath.Join(t.TempDir(), "few")
	l = openLog(t, Options{Path: few, MaxBytes: 4096, KeepFiles: 1})
	for i := range 100 {
		l.LogAnswer(answerRecord(fmt.Sprint(i)))
		l.Flush()
	}
	l.Close()
	if files, _ := filepath.Glob(few + "*"); len(files) != 2 {
		t.Error(files)
	}
}

// TestTwoProcessesShareOneLog checks that the two processes of an upgrade lose no line by rotating the same file.
func TestTwoProcessesShareOneLog(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	o := Options{Path: path, MaxBytes: 4096, KeepFiles: 100}
	x, y := openLog(t, o), openLog(t, o)
	for i := range 100 {
		x.LogAnswer(answerRecord(fmt.Sprint("x", i)))
		y.LogAnswer(answerRecord(fmt.Sprint("y", i)))
		x.Flush()
		y.Flush()
	}
	x.Close()
	y.Close()
	files, _ := filepath.Glob(path + "*")
	lines := 0
	for _, name := range files {
		text, _ := os.ReadFile(name)
		if err := Read(bytes.NewReader(text), func(Line) { lines++ }, func(n int, err error) { t.Error(name, n, err) }); err != nil {
			t.Error(err)
		}
	}
	if lost := int(x.DroppedLines() + y.DroppedLines()); lines+lost != 200 {
		t.Errorf("%d lines in %d files, %d lost", lines, len(files), lost)
	}
}

// TestStalledDisk writes to a pipe that nobody reads: lines are dropped and counted, and LogAnswer never blocks.
func TestStalledDisk(t *testing.T) {
	path := filepath.Join(t.TempDir(), "pipe")
	if err := unix.Mkfifo(path, 0o600); err != nil {
		t.Skip(err)
	}
	l := openLog(t, Options{Path: path})
	const jobs = 20000 // of 0.4 KB each: more than pipe and queue have room for
	for i := range jobs {
		l.LogAnswer(answerRecord(fmt.Sprint(i)))
	}
	l.Flush()
	if l.DroppedLines() == 0 || l.DroppedLines() >= jobs {
		t.Errorf("%d lines lost", l.DroppedLines())
	}
	lines := 0
	done := make(chan struct{})
	f, err := os.OpenFile(path, os.O_RDONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = Read(f, func(Line) { lines++ }, func(int, error) {})
		close(done)
	}()
	l.Close()
	<-done
	if got := uint64(lines) + l.DroppedLines(); got != jobs || l.Lines != jobs {
		t.Errorf("%d lines came and %d were lost of %d", lines, l.DroppedLines(), jobs)
	}
}

// TestFullDisk checks that failed lines are counted, and reported once.
func TestFullDisk(t *testing.T) {
	if _, err := os.Stat("/dev/full"); err != nil {
		t.Skip(err)
	}
	var reports atomic.Int32
	l := openLog(t, Options{Path: "/dev/full", Report: func(error) { reports.Add(1) }})
	for i := range 30 {
		l.LogAnswer(answerRecord(fmt.Sprint(i)))
		l.Flush()
	}
	l.Close()
	if l.FailedLines()+l.DroppedLines() != 30 || reports.Load() != 1 {
		t.Errorf("%d failed, %d lost, %d reports", l.FailedLines(), l.DroppedLines(), reports.Load())
	}
}

// TestTornLine checks that an incomplete last line of a killed process doesn't affect the next one.
func TestTornLine(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	if err := os.WriteFile(path, []byte(`{"time":1,"by":"n0","id":"torn","cla`), 0o600); err != nil {
		t.Fatal(err)
	}
	l := openLog(t, Options{Path: path})
	l.LogAnswer(answerRecord("after"))
	l.Close()
	f, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	var ids []string
	bad := 0
	err = Read(f, func(l Line) { ids = append(ids, l.ID) }, func(int, error) { bad++ })
	if err != nil || bad != 1 || !slices.Equal(ids, []string{"after"}) {
		t.Error(err, bad, ids)
	}
	if _, err := Open(Options{Path: filepath.Join(path, "below-a-file")}); err == nil {
		t.Error("opened below a file")
	}
}

func BenchmarkAnswered(b *testing.B) {
	l, err := Open(Options{Path: filepath.Join(b.TempDir(), "log"), DispatcherName: "n0", Classes: []string{"score"}, MaxBytes: 1 << 30})
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	f := answerRecord("0123456789abcdef")
	for b.Loop() {
		l.LogAnswer(f)
	}
	b.ReportMetric(float64(l.DroppedLines())/float64(b.N), "lost/line")
}
