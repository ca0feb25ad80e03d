package fakeplatform

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"
)

// fakeClock is a clock that is set by hand.
type fakeClock struct {
	mutex sync.Mutex
	now   time.Time
}

func (c *fakeClock) read() time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.now
}

func (c *fakeClock) advance(d time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.now = c.now.Add(d)
}

func startPlatform(t *testing.T, o Options) (*Platform, *fakeClock) {
	t.Helper()
	clock := &fakeClock{now: time.Unix(1000, 0)}
	o.Address, o.Now = "127.0.0.1:0", clock.read
	platform, err := Start(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(platform.Close)
	return platform, clock
}

func getPage(t *testing.T, c *Platform, query string) (p pageDocument, status int) {
	t.Helper()
	resp, err := http.Get("http://" + c.Address().String() + Path + query)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusOK {
		if err := json.NewDecoder(resp.Body).Decode(&p); err != nil {
			t.Fatal(err)
		}
	}
	return p, resp.StatusCode
}

func entry(i int, zone string) Entry {
	return Entry{ID: fmt.Sprintf("i-%02d", i), Service: "llm", Zone: zone, Capacity: 64, Model: "m",
		Address: netip.MustParseAddrPort("127.0.1.9:8080")}
}

func TestChangesAppearAfterPropagationDelay(t *testing.T) {
	c, time := startPlatform(t, Options{PropagationDelay: 800e6})
	c.Set(entry(1, "a"))
	if p, _ := getPage(t, c, ""); len(p.Instances) != 0 {
		t.Errorf("there is %+v already", p)
	}
	time.advance(800e6)
	if p, _ := getPage(t, c, ""); len(p.Instances) != 1 || p.NextToken != nil {
		t.Errorf("the list is %+v", p)
	}
	c.Remove("i-01")
	time.advance(800e6)
	if p, _ := getPage(t, c, ""); len(p.Instances) != 0 {
		t.Errorf("there is %+v still", p)
	}
}

func TestPagingAndZoneFilter(t *testing.T) {
	c, _ := startPlatform(t, Options{PageSize: 2})
	for i := range 5 {
		c.Set(entry(i, string(rune('a'+i%2))))
	}
	var ids []string
	query := ""
	for pages := 0; ; pages++ {
		p, status := getPage(t, c, query)
		if status != http.StatusOK || pages > 3 {
			t.Fatalf("status %d, page %d", status, pages)
		}
		for _, i := range p.Instances {
			ids = append(ids, i.ID)
		}
		if p.NextToken == nil {
			break
		}
		query = "?page_token=" + *p.NextToken
	}
	if len(ids) != 5 {
		t.Errorf("the pages have %v", ids)
	}
	if p, _ := getPage(t, c, "?zone=b"); len(p.Instances) != 2 || p.Instances[0].Zone != "b" {
		t.Errorf("zone b has %+v", p)
	}
	if _, status := getPage(t, c, "?page_token=x"); status != http.StatusBadRequest {
		t.Errorf("a page that is none: %d", status)
	}
}

func TestInstanceDocument(t *testing.T) {
	c, time := startPlatform(t, Options{})
	e := entry(1, "a")
	e.Draining = true
	e.SlowStartUntil = time.read().Add(2e9)
	e.TerminatesAt = time.read().Add(3e9)
	c.Set(e)
	time.advance(1e9)
	p, _ := getPage(t, c, "")
	i := p.Instances[0]
	terminatesInTime := i.TimeToTermination != nil && *i.TimeToTermination == 2000
	if i.State != "draining" || i.SlowStartRemaining != 1000 || !terminatesInTime || i.Models[0].Name != "m" {
		t.Errorf("the entry is %+v", i)
	}
}

func TestRateLimit(t *testing.T) {
	c, time := startPlatform(t, Options{CallsPerSecond: 3})
	for i := range 5 {
		_, status := getPage(t, c, "")
		if want := map[bool]int{true: http.StatusOK, false: http.StatusTooManyRequests}[i < 3]; status != want {
			t.Errorf("call %d: %d", i, status)
		}
	}
	time.advance(1e9)
	if _, status := getPage(t, c, ""); status != http.StatusOK {
		t.Errorf("after a second: %d", status)
	}
	if s := c.Stats(); s.Calls != 6 || s.Throttled != 2 {
		t.Errorf("%+v", s)
	}
	c.SetFailing(true)
	if _, status := getPage(t, c, ""); status != http.StatusInternalServerError {
		t.Errorf("while down: %d", status)
	}
}
