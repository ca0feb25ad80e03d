package jsonfield

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"cinderroad/internal/system/validation"
)

func TestReadStrictObjectReportsConflicts(t *testing.T) {
	for count := 1; count < 100; count += 7 {
		var source strings.Builder
		for i := range count {
			fmt.Fprintf(&source, `"f%d":%d,`, i, i)
		}
		fields := strings.TrimSuffix(source.String(), ",")
		value, problems := mustParse(t, "{"+fields+","+fields+"}")
		fieldCount := 0
		value.ReadStrictObject(func(string, Value) { fieldCount++ })
		if fieldCount != count || problems.Err() != nil {
			t.Errorf("%d fields: %d read, %v", count, fieldCount, problems.Err())
		}
		value, problems = mustParse(t, "{"+fields+`,"f0":1}`)
		value.ReadStrictObject(func(string, Value) {})
		var validationError *validation.Error
		if !errors.As(problems.Err(), &validationError) || validationError.Problems[0].Path != "f0" {
			t.Errorf("%d fields: got %v", count, problems.Err())
		}
	}
}
