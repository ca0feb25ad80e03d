package configuration

import "testing"

func TestRouteIsIdempotent(t *testing.T) {
	for _, check := range []struct {
		route Route
		want  bool
	}{
		{Route{Type: ReadOnly}, true},
		{Route{Type: ReadWrite, Resumable: true}, false},
		{Route{Type: Streaming}, false},
		{Route{Type: Streaming, Resumable: true}, true},
	} {
		if check.route.IsIdempotent() != check.want {
			t.Errorf("%+v: got %v", check.route, !check.want)
		}
	}
}
