package jobstate

import (
	"os"
	"strings"
	"testing"
)

// Every error has a code and a remedy, and docs/promises.md has both.
func TestErrorsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../../../docs/promises.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, coded := range []CodedError{
		&StateFullError{},
		&JobTooLargeError{},
		&JobNotFoundError{},
		&FencedError{},
		&JobEndedError{},
		&MayHaveRunError{},
		&KeyConflictError{},
		&DecodeError{Cause: errUnsupportedVersion},
	} {
		if coded.Code() == "" || coded.Remedy() == "" || coded.Error() == "" ||
			!strings.Contains(string(page), "`"+coded.Code()+"`") ||
			!strings.Contains(string(page), coded.Remedy()) {
			t.Errorf("%T: code %q or its remedy is not on the page", coded, coded.Code())
		}
	}
}
