package validation

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

func TestListWithoutFindingsIsNoError(t *testing.T) {
	var list Problems
	list.AddError(nil)
	if list.Err() != nil || list.Len() != 0 {
		t.Fatalf("got %v", list.Err())
	}
}

func TestListReportsAllFindingsInOrder(t *testing.T) {
	var inner Problems
	inner.AddAt("b[1]", 17, "is wrong")
	var list Problems
	list.Add("a", "is missing")
	list.AddError(fmt.Errorf("while reading: %w", inner.Err()))
	list.AddError(errors.New("no more"))
	const want = "a: is missing; b[1] (byte 17): is wrong; document: no more"
	if got := list.Err().Error(); got != want {
		t.Fatalf("got %q, want %q", got, want)
	}
}

func TestListKeepsABoundedNumber(t *testing.T) {
	var list Problems
	for range 10 * maxKept {
		list.Add("a", "is wrong")
	}
	var all Problems
	all.AddError(list.Err())
	if all.Len() != 10*maxKept || !strings.HasSuffix(all.Err().Error(), fmt.Sprintf("and %d more", 9*maxKept)) {
		t.Fatalf("got %d: %v", all.Len(), all.Err())
	}
}
