package validation

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

func TestNoProblems(t *testing.T) {
	var problems Problems
	problems.AddError(nil)
	if problems.Err() != nil || problems.Len() != 0 {
		t.Fatalf("got %v", problems.Err())
	}
}

func TestProblemsInOrder(t *testing.T) {
	var inner Problems
	inner.AddAt("b[1]", 17, "is wrong")
	var problems Problems
	problems.Add("a", "is missing")
	problems.AddError(fmt.Errorf("while reading: %w", inner.Err()))
	problems.AddError(errors.New("no more"))
	const want = "a: is missing; b[1] (byte 17): is wrong; document: no more"
	if got := problems.Err().Error(); got != want {
		t.Fatalf("got %q, want %q", got, want)
	}
}

func TestProblemsAreBounded(t *testing.T) {
	var problems Problems
	for range 10 * maxProblems {
		problems.Add("a", "is wrong")
	}
	var all Problems
	all.AddError(problems.Err())
	if all.Len() != 10*maxProblems || !strings.HasSuffix(all.Err().Error(), fmt.Sprintf("and %d more", 9*maxProblems)) {
		t.Fatalf("got %d: %v", all.Len(), all.Err())
	}
}
