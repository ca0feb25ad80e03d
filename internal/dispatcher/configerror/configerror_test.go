package configerror

import (
	"errors"
	"testing"
)

func TestError(t *testing.T) {
	cause := errors.New("is wrong")
	for _, tc := range []struct {
		err  Error
		want string
	}{
		{Error{File: "config", Path: "a.json", Err: cause}, "config: a.json: is wrong"},
		{Error{File: "config", Path: "a.json", Line: 3, Err: cause}, "config: a.json:3: is wrong"},
		{Error{File: "gearman", Path: "a.toml", Key: "worker[1].zone", Err: cause}, "gearman: a.toml: worker[1].zone: is wrong"},
		{Error{File: "operator's file", Path: "a.toml", Line: 3, Key: "log", Err: cause}, "operator's file: a.toml:3: log: is wrong"},
	} {
		if got := tc.err.Error(); got != tc.want {
			t.Errorf("%q, want %q", got, tc.want)
		}
		if !errors.Is(&tc.err, cause) {
			t.Errorf("%q does not wrap its cause", tc.want)
		}
	}
}
