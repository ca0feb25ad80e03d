package discovery

import (
	"errors"
	"net/netip"
	"reflect"
	"testing"
	"time"
)

const listPage = `{"instances":[
 {"service":"engine","address":"10.128.0.9:8080","zone":"north-a","version":"v1","capacity":64,"state":"serving",
  "cold_left_ms":1500.5,"phase":"both","models":[{"name":"m","version":3,"adapters":[]}],"id":"i-1"},
 {"service":"engine","address":"10.128.0.10:8080","zone":"north-a","capacity":64,"state":"draining","id":"i-2",
  "time_left_ms":2500,"cold_left_ms":0,"models":null}],"next_token":"p-50","unknown":[1,{"a":null}]}`

func TestDecodeList(t *testing.T) {
	runners, next, err := DecodeList([]byte(listPage))
	if err != nil {
		t.Fatal(err)
	}
	want := []Runner{
		{
			ID:                 "i-1",
			Service:            "engine",
			Address:            netip.MustParseAddrPort("10.128.0.9:8080"),
			Zone:               "north-a",
			Capacity:           64,
			SlowStartRemaining: 1500500 * time.Microsecond,
			Phase:              "both",
			Models: []Model{{
				Name:    "m",
				Version: 3,
			}},
		},
		{
			ID:                "i-2",
			Service:           "engine",
			Address:           netip.MustParseAddrPort("10.128.0.10:8080"),
			Zone:              "north-a",
			Capacity:          64,
			Draining:          true,
			TimeToTermination: 2500 * time.Millisecond,
		},
	}
	if !reflect.DeepEqual(runners, want) || next != "p-50" {
		t.Fatalf("got %+v and %q", runners, next)
	}
}

func TestDecodeListSkipsInvalidEntries(t *testing.T) {
	const body = `{"instances":[7,{"id":"a"},{"id":"b","service":"s","address":"nowhere","state":"serving"},
	 {"id":"c","service":"s","address":"10.0.0.1:80","state":"serving","capacity":"many"},
	 {"id":"d","service":"s","address":"10.0.0.1:80","state":"serving"}],"next_token":null}`
	runners, next, err := DecodeList([]byte(body))
	var skipped *SkippedEntriesError
	if !errors.As(err, &skipped) || skipped.Skipped != 4 {
		t.Fatalf("got %v, want four entries skipped", err)
	}
	if len(runners) != 1 || runners[0].ID != "d" || next != "" {
		t.Fatalf("got %+v and %q", runners, next)
	}
}

func TestDecodeListUnknownStateIsDraining(t *testing.T) {
	const body = `{"instances":[{"id":"a","service":"s","address":"10.0.0.1:80","state":"resting"}]}`
	runners, _, err := DecodeList([]byte(body))
	if err != nil || !runners[0].Draining {
		t.Fatalf("got %+v, %v", runners, err)
	}
}

func TestDecodeListZeroTimeToTermination(t *testing.T) {
	const body = `{"instances":[
	 {"id":"a","service":"s","address":"10.0.0.1:80","state":"serving","time_left_ms":0}]}`
	runners, _, err := DecodeList([]byte(body))
	if err != nil || !runners[0].Draining || runners[0].TimeToTermination <= 0 {
		t.Fatalf("got %+v, %v", runners, err)
	}
}

func TestDecodeListRejectsMalformed(t *testing.T) {
	for _, body := range []string{"", "[]", "{}", `{"instances":3}`, `{"instances":[]`, `{"instances":[],"next_token":1}`} {
		var malformed *MalformedListError
		if runners, _, err := DecodeList([]byte(body)); !errors.As(err, &malformed) || runners != nil {
			t.Errorf("%q: got %v, %v", body, runners, err)
		}
	}
}

func FuzzDecodeList(f *testing.F) {
	f.Add([]byte(listPage))
	f.Add([]byte(`{"instances":[]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		runners, _, err := DecodeList(body)
		var malformed *MalformedListError
		if errors.As(err, &malformed) && runners != nil {
			t.Fatal("a page that cannot be read has runners")
		}
		for _, runner := range runners {
			if runner.ID == "" || runner.Service == "" || !runner.Address.IsValid() || runner.SlowStartRemaining < 0 {
				t.Fatalf("%+v makes no sense", runner)
			}
		}
	})
}
