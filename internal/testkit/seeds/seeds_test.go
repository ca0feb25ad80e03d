package seeds

import (
	"slices"
	"testing"
)

func TestFromEnvironment(t *testing.T) {
	for _, test := range []struct {
		one, count, first string
		want              []uint64
	}{
		{"", "", "", []uint64{0, 1}},
		{"7", "", "", []uint64{7}},
		{"7", "3", "4", []uint64{7}},
		{"", "3", "", []uint64{0, 1, 2}},
		{"", "3", "4", []uint64{4, 5, 6}},
	} {
		t.Setenv(One, test.one)
		t.Setenv(Count, test.count)
		t.Setenv(First, test.first)
		if got, err := FromEnvironment(2); err != nil || !slices.Equal(got, test.want) {
			t.Errorf("%+v: %v, %v", test, got, err)
		}
	}
}

func TestFromEnvironmentRejectsWhatIsNoNumber(t *testing.T) {
	for _, name := range []string{One, Count, First} {
		t.Run(name, func(t *testing.T) {
			t.Setenv(name, "many")
			if _, err := FromEnvironment(2); err == nil {
				t.Error("no error")
			}
		})
	}
}
