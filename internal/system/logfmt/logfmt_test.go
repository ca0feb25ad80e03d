package logfmt

import (
	"errors"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
)

func TestWriteEvent(t *testing.T) {
	var out strings.Builder
	log := New(&out, zap.InfoLevel).With(zap.String("node", "edge-1"))
	log.Debug("not written")
	log.Info("two words", zap.Duration("took", 1500*time.Millisecond), zap.Error(errors.New("a=b")), zap.Int("n", 3),
		zap.Float64("share", 0.25), zap.String("empty", ""), zap.String("line", "one\ntwo"))
	line := out.String()
	_, rest, _ := strings.Cut(line, " ")
	want := `level=info msg="two words" node=edge-1 took=1.5s error="a=b" n=3 share=0.25 empty="" line="one\ntwo"` + "\n"
	if !strings.HasPrefix(line, "time=2") || rest != want {
		t.Errorf("line is\n%swant\n%s", line, want)
	}
}
