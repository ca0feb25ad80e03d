package jobstate

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func FuzzDecode(f *testing.F) {
	f.Add((&Command{Kind: CommandSubmit, TimeMS: 1, Tenant: "a", Key: "k", Data: []byte("x")}).Encode())
	f.Fuzz(func(t *testing.T, data []byte) {
		if command, err := Decode(data); err == nil {
			if again, err := Decode(command.Encode()); err != nil || !cmp.Equal(command, again) {
				t.Errorf("%v: %v, %v", command, again, err)
			}
			if _, err := New(testLimits).Apply(1, data); err != nil {
				t.Error(err)
			}
		}
	})
}
