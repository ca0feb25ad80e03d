package processcluster

import (
	"bufio"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"cinderroad/internal/testkit/receivers"
)

// startWithoutProcesses starts a cluster of which only the fakes and the relays run.
func startWithoutProcesses(t *testing.T) *Cluster {
	t.Helper()
	return Start(t, Options{Program: "none", Members: 2, Runners: 2, StartNone: true})
}

// readList returns the next list that discovery sends a member, and the line that it is on.
func readList(t *testing.T, m *Member) (list targetList, line string) {
	t.Helper()
	client := http.Client{Timeout: 20 * time.Second}
	answer, err := client.Get("http://" + m.discoveryRelay.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	line, err = bufio.NewReader(answer.Body).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal([]byte(line), &list); err != nil {
		t.Fatal(err)
	}
	return list, line
}

func TestListFormat(t *testing.T) {
	c := startWithoutProcesses(t)
	c.Runners[1].SetState(stateGone)
	m := c.Members[0]
	_, line := readList(t, m)
	want := `{"all":true,"rev":1,"targets":[{"az":"milano","boot_ms":0,"capacity_hint":1,"endpoint":"` +
		m.runnerRelays[0].Addr() + `","model":"two-core","pod_group":0,"state":"ready","uid":"s-00"}]}`
	if line != want+"\n" {
		t.Errorf("the list is\n%s, want\n%s", line, want)
	}
	c.Runners[0].SetState(stateGone)
	if _, line := readList(t, m); strings.TrimSpace(line) != `{"all":true,"rev":1,"targets":null}` {
		t.Errorf("an empty list is %s", line)
	}
}

func TestFrozenList(t *testing.T) {
	c := startWithoutProcesses(t)
	m := c.Members[0]
	c.Discovery.Freeze(m, true)
	c.Runners[1].SetState(stateGone)
	c.Discovery.Publish()
	if list, _ := readList(t, m); list.Revision != 1 || len(list.Targets) != 2 {
		t.Errorf("a member whose list is frozen gets %+v", list)
	}
	if list, _ := readList(t, c.Members[1]); list.Revision != 2 || len(list.Targets) != 1 {
		t.Errorf("another member gets %+v", list)
	}
	c.Discovery.Freeze(m, false)
	if list, _ := readList(t, m); list.Revision != 2 || len(list.Targets) != 1 {
		t.Errorf("a member whose list is frozen no more gets %+v", list)
	}
}

// TestDrainNotices checks that a drain binds a member from when it was notified, as long as the runner drains.
func TestDrainNotices(t *testing.T) {
	c := startWithoutProcesses(t)
	informed, other := c.Members[0], c.Members[1]
	runner := c.Runners[0]
	runner.SetState(stateDraining)
	c.Discovery.Publish()
	readList(t, informed)
	c.Discovery.Freeze(other, true)
	readList(t, other)
	if c.Discovery.violatesDrain(informed, runner) {
		t.Error("the drain binds at once")
	}
	grace := time.Duration((drainGraceSeconds + drainScheduleSeconds) * float64(time.Second))
	time.Sleep(grace + 10*time.Millisecond)
	if !c.Discovery.violatesDrain(informed, runner) || c.Discovery.violatesDrain(informed, c.Runners[1]) {
		t.Error("a member that was notified may send, or a runner that does not drain must not be sent to")
	}
	if c.Discovery.violatesDrain(other, runner) {
		t.Error("the drain binds a member that was not notified")
	}
	runner.SetState(stateReady)
	c.Discovery.Publish()
	if c.Discovery.violatesDrain(informed, runner) {
		t.Error("a drain that has ended binds")
	}
}

// TestDrainNoticeBehindBlackHole checks that a list that the relay does not pass notifies nobody.
func TestDrainNoticeBehindBlackHole(t *testing.T) {
	c := startWithoutProcesses(t)
	m := c.Members[0]
	c.Runners[0].SetState(stateDraining)
	m.discoveryRelay.SetLink(receivers.Link{Blackhole: true})
	c.Discovery.takeList(m)
	if len(c.Discovery.drainNotices) != 0 {
		t.Error("a notice behind a black hole counts")
	}
	m.discoveryRelay.SetLink(receivers.Link{})
	c.Discovery.takeList(m)
	if len(c.Discovery.drainNotices) != 1 {
		t.Error("a notice that passes does not count")
	}
}
