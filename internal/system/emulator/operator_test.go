package emulator

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
)

func TestOperatorRetriesUntilFinalStatus(t *testing.T) {
	for _, test := range []struct {
		statuses []int
		calls    int32
		want     int // of the error; 0: none
	}{
		{[]int{200}, 1, 0},
		{[]int{503, 429, 200}, 3, 0},
		{[]int{500, 412}, 2, 412},
		{[]int{400}, 1, 400},
	} {
		var calls atomic.Int32
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			n := calls.Add(1)
			if q.Header.Get(basedOnHeader) != "5" || q.URL.Path != replacePath {
				t.Errorf("%v %v", q.URL, q.Header)
			}
			w.WriteHeader(test.statuses[n-1])
		}))
		o := &operator{addresses: []string{strings.TrimPrefix(server.URL, "http://")}}
		err := o.replaceConfiguration(context.Background(), configurationDocument{}, 5)
		server.Close()
		var rejected *rejectedError
		if errors.As(err, &rejected) != (test.want != 0) || rejected != nil && rejected.Status != test.want {
			t.Errorf("%v: %v", test.statuses, err)
		}
		if calls.Load() != test.calls {
			t.Errorf("%v: %d calls", test.statuses, calls.Load())
		}
	}
}
