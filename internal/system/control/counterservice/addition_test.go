package counterservice

import (
	"errors"
	"slices"
	"strings"
	"testing"

	"cinderroad/internal/system/counter"
	"cinderroad/internal/system/validation"
)

func TestParseAddition(t *testing.T) {
	longest := strings.Repeat("x", counter.MaxIDSize)
	for body, want := range map[string]counter.Operation{
		`{"id":"5c0e7a21d94b36f8","changed_by":4}`:                         {ID: "5c0e7a21d94b36f8", Amount: 4},
		` {"changed_by":-9223372036854775808,"id":"a","more":{"id":7}} `:   {ID: "a", Amount: -1 << 63},
		`{"id":"a","changed_by":9223372036854775807}`:                      {ID: "a", Amount: 1<<63 - 1},
		`{"id":"a","changed_by":0}`:                                        {ID: "a"},
		`{"id":"a","changed_by":4.0}`:                                      {ID: "a", Amount: 4},
		`{"id":"a","changed_by":-3e2,"id":"a"}`:                            {ID: "a", Amount: -300},
		`{"id":"\u0000\"ü","changed_by":1}`:                                {ID: "\x00\"ü", Amount: 1},
		`{"id":"` + longest + `","changed_by":1,"kind":null,"unknown":[]}`: {ID: longest, Amount: 1},
	} {
		want.Counter = "t3"
		got, err := parseAddition("t3", []byte(body))
		if err != nil || got != want {
			t.Errorf("%s: %+v, %v", body, got, err)
		}
	}
}

// TestParseAdditionReportsAllProblems checks the paths of the problems.
func TestParseAdditionReportsAllProblems(t *testing.T) {
	tooLong := strings.Repeat("x", counter.MaxIDSize+1)
	for body, paths := range map[string][]string{
		"":                             {""},
		"[]":                           {""},
		`{"id":"a","changed_by":4`:     {""},
		`{"id":"a","changed_by":4} {}`: {""},
		"{}":                           {"id", "changed_by"},
		`{"id":"","changed_by":"4"}`:   {"id", "changed_by"},
		`{"id":7,"changed_by":null}`:   {"id", "changed_by"},
		`{"changed_by":4.5,"id":"a"}`:  {"changed_by"},
		`{"changed_by":9223372036854775808,"id":"a"}`: {"changed_by"},
		`{"changed_by":9007199254740993.0,"id":"a"}`:  {"changed_by"},
		`{"changed_by":1e400,"id":"a"}`:               {"changed_by"},
		`{"changed_by":true,"id":"` + tooLong + `"}`:  {"changed_by", "id"},
		`{"id":"a","changed_by":1,"id":"b"}`:          {"id"},
		`{"id":"a","changed_by":1,"changed_by":2}`:    {"changed_by"},
	} {
		_, err := parseAddition("t3", []byte(body))
		var invalid *validation.Error
		if !errors.As(err, &invalid) {
			t.Errorf("%s: %v", body, err)
			continue
		}
		var found []string
		for _, problem := range invalid.Problems {
			found = append(found, problem.Path)
		}
		if !slices.Equal(found, paths) {
			t.Errorf("%s: problems at %q, want %q", body, found, paths)
		}
	}
	_, err := parseAddition(tooLong, []byte(`{"id":"a","changed_by":1}`))
	var invalid *validation.Error
	if !errors.As(err, &invalid) || invalid.Problems[0].Path != pathName {
		t.Errorf("a name that is too long: %v", err)
	}
}
