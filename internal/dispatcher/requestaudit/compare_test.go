package requestaudit

import (
	"strings"
	"testing"
)

// TestPointsOfOneTimeInTwoFiles: the point that was read last counts, on whichever line of its file it is.
func TestPointsOfOneTimeInTwoFiles(t *testing.T) {
	const series = "cinderroad.n0.classes.score.answers.in_time"
	first := "\n\n" + series + " 3 100\n" + series + " 5 110\n"
	second := series + " 7 110\n"
	audit := New()
	for _, text := range []string{first, second} {
		if err := audit.ReadMetrics("received", strings.NewReader(text)); err != nil {
			t.Fatal(err)
		}
	}
	rows := audit.Compare()
	if len(rows) != 1 || rows[0].Received != 7 {
		t.Errorf("%+v, want 7 received", rows)
	}
}
