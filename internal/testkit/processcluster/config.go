package processcluster

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"strings"

	"cinderroad/internal/testkit/receivers"
)

// seedAddresses returns the seeds of a member: the first two others of its cluster.
func (c *Cluster) seedAddresses(m *Member) (seeds []string) {
	for _, o := range c.Members {
		if o != m && o.ClusterName == m.ClusterName && len(seeds) < 2 && !c.NoSeeds {
			seeds = append(seeds, o.Relay.Addr())
		}
	}
	return seeds
}

// OperatorConfig returns the contents of the member's operator configuration file.
func (m *Member) OperatorConfig() string {
	if m.cluster.Standalone {
		return ""
	}
	return fmt.Sprintf("[fleet]\nname = %q\nbind = %q\nadvertise = %q\nseeds = [%s]\nperiod_s = %v\ndiscovery = \"rig\"\nlease_s = %v\n[request_log]\npath = %q\n", m.ClusterName, m.BindAddress, m.Relay.Addr(),
		quoteAll(m.cluster.seedAddresses(m)), m.cluster.ProbeIntervalSeconds, LeaseSeconds, m.path+".requests")
}

// ChangeBindAddress gives the member another bind address with a new relay, and returns the operator configuration
// with both. The running process isn't told; see Reload.
func (m *Member) ChangeBindAddress() string {
	m.BindAddress = m.cluster.freePort()
	m.Relay.Close()
	var err error
	m.Relay, err = receivers.NewUDPRelay(m.Name, netip.MustParseAddrPort(m.BindAddress), m.cluster.Seed, m.cluster.Log)
	m.cluster.must(err)
	m.Relay.SenderOf = m.cluster.senderName
	return m.OperatorConfig()
}

func quoteAll(list []string) string {
	out := make([]string, len(list))
	for i, s := range list {
		out[i] = fmt.Sprintf("%q", s)
	}
	return strings.Join(out, ", ")
}

// WriteConfig writes the member's files; operator is the contents of the operator configuration.
func (m *Member) WriteConfig(operator string) {
	c := m.cluster
	settings := map[string]any{
		"categories": []map[string]any{
			{"name": "score", "deadlineS": 5, "objectiveS": 0.5, "repeat": "retryable", "windowS": 5, "worth": 3},
			{"name": "once", "deadlineS": 5, "objectiveS": 0.5, "repeat": "fragile", "worth": 10}},
		"failureDomains": []string{"milano", "torino"}, "kinds": []string{"two-core"},
		"familyInfo": map[string]any{"tellsStart": true, "reportX0": "free slots"},
		"guarantees": map[string]any{"answerSlackS": 0.016, "askWithinS": 10, "coldS": c.slowStartSeconds(), "coldShare": 0.34, "drainGraceS": 0.3,
			"fallMultiple": overloadMultiple, "fallS": overloadWindowSeconds},
		"limits": map[string]any{"attemptsCap": 4, "connIdleS": 60, "connectTimeoutS": 0.25, "mayCancel": true, "mayProbe": true,
			"parallelTries": true, "retryAfter": true, "maxRetryAfterS": 2},
		"me": m.Index % c.InstanceCount, "nInstances": c.InstanceCount, "membershipMode": "pushed",
		"report": map[string]any{"fields": []string{"utilization", "backlog", "outstanding", "x0"}, "via": "piggyback"},
		"tickS":  0.004, "zone": m.Index % 2}
	config := map[string]any{"name": m.Name, "listen": m.ListenAddress, "console": m.AdminAddress, "discovery": m.discoveryRelay.Addr(),
		"seed": fmt.Sprintf("%x", 77+m.Index), "limits": map[string]any{"cores": 1, "memory_mb": 128, "sockets": 512},
		"known": map[string]any{"rev": 0, "all": true, "targets": []any{}}, "settings": settings}
	text, err := json.Marshal(config)
	c.must(err)
	c.must(os.WriteFile(m.path+".json", text, 0o600))
	c.must(os.WriteFile(m.path+".toml", []byte(operator), 0o600))
}
