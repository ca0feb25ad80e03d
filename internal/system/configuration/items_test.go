package configuration

import (
	"errors"
	"testing"

	"cinderroad/internal/system/feed"
)

func TestDecodeStoredItems(t *testing.T) {
	stored := itemStore{}
	stored.apply(mustParse(t, sampleDocument, 0).Writes())
	route, err := DecodeRoute(stored[feed.KeyPrefixRoute+"r-1"])
	if err != nil || route.PathPrefix != "/one/" || len(route.Shares) != 2 {
		t.Errorf("got %+v, %v", route, err)
	}
	service, err := DecodeService(stored[feed.KeyPrefixService+"engine"])
	if err != nil || service.MaxConnections != 360 {
		t.Errorf("got %+v, %v", service, err)
	}
	limits, err := DecodeLimits(stored[feed.KeyLimits])
	if err != nil || limits.MaxHeaderBytes != 16384 {
		t.Errorf("got %+v, %v", limits, err)
	}
	if version, err := DecodeVersion(stored[feed.KeyVersion]); err != nil || version != 7 {
		t.Errorf("got %d, %v", version, err)
	}
	if string(stored[feed.KeyPrefixExtra+"colour"]) != `"blue"` {
		t.Errorf("got %s", stored[feed.KeyPrefixExtra+"colour"])
	}
}

func TestDecodeRejectsMalformedItems(t *testing.T) {
	var malformed *MalformedItemError
	for _, value := range []string{"", "1234567", "12345678", "12345678{", "12345678[]", "12345678{} x"} {
		if _, err := DecodeRoute([]byte(value)); !errors.As(err, &malformed) {
			t.Errorf("%q as a route: %v", value, err)
		}
		if _, err := DecodeService([]byte(value)); !errors.As(err, &malformed) {
			t.Errorf("%q as a service: %v", value, err)
		}
	}
	damaged := itemStore{feed.KeyVersion: []byte("x")}
	if _, err := FromItems(damaged.all()); !errors.As(err, &malformed) {
		t.Errorf("got %v", err)
	}
	var missing *NoDocumentError
	evacuated := itemStore{feed.KeyPrefixEvacuation + "north-a": nil}
	if _, err := FromItems(evacuated.all()); !errors.As(err, &missing) {
		t.Errorf("got %v", err)
	}
}
