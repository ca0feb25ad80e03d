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
	var b strings.Builder
	b.WriteString("[fleet]\n")
	fmt.Fprintf(&b, "name = %q\n", m.ClusterName)
	fmt.Fprintf(&b, "bind = %q\n", m.BindAddress)
	fmt.Fprintf(&b, "advertise = %q\n", m.Relay.Addr())
	fmt.Fprintf(&b, "seeds = [%s]\n", quoteAll(m.cluster.seedAddresses(m)))
	fmt.Fprintf(&b, "period_s = %v\n", m.cluster.ProbeIntervalSeconds)
	b.WriteString("discovery = \"rig\"\n")
	fmt.Fprintf(&b, "lease_s = %v\n", LeaseSeconds)
	b.WriteString("[request_log]\n")
	fmt.Fprintf(&b, "path = %q\n", m.path+".requests")
	return b.String()
}

// ChangeBindAddress gives the member another bind address with a new relay, and returns the operator configuration
// with both. The running process isn't told; see Reload.
func (m *Member) ChangeBindAddress() string {
	m.BindAddress = m.cluster.freePort()
	m.Relay.Close()
	bindAddress := netip.MustParseAddrPort(m.BindAddress)
	relay, err := receivers.NewUDPRelay(m.Name, bindAddress, m.cluster.Seed, m.cluster.senderName, m.cluster.Log)
	m.cluster.must(err)
	m.Relay = relay
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
	config := map[string]any{
		"name":      m.Name,
		"listen":    m.ListenAddress,
		"console":   m.AdminAddress,
		"discovery": m.discoveryRelay.Addr(),
		"seed":      fmt.Sprintf("%x", 77+m.Index),
		"limits":    map[string]any{"cores": 1, "memory_mb": 128, "sockets": 512},
		"known":     map[string]any{"rev": 0, "all": true, "targets": []any{}},
		"settings":  m.settings(),
	}
	text, err := json.Marshal(config)
	m.cluster.must(err)
	m.cluster.must(os.WriteFile(m.path+".json", text, 0o600))
	m.cluster.must(os.WriteFile(m.path+".toml", []byte(operator), 0o600))
}

// settings returns the part of the configuration that the members share, but for "me" and "zone".
func (m *Member) settings() map[string]any {
	c := m.cluster
	return map[string]any{
		"categories": []map[string]any{
			{"name": classScore, "deadlineS": 5, "objectiveS": 0.5, "repeat": "retryable", "windowS": 5, "worth": 3},
			{"name": classOnce, "deadlineS": 5, "objectiveS": 0.5, "repeat": "fragile", "worth": 10},
		},
		"failureDomains": failureDomains,
		"kinds":          []string{runnerModel},
		"familyInfo":     map[string]any{"tellsStart": true, "reportX0": "free slots"},
		"guarantees": map[string]any{
			"answerSlackS": 0.016,
			"askWithinS":   10,
			"coldS":        c.slowStartSeconds(),
			"coldShare":    slowStartShare,
			"drainGraceS":  drainGraceSeconds,
			"fallMultiple": overloadMultiple,
			"fallS":        overloadWindowSeconds,
		},
		"limits": map[string]any{
			"attemptsCap":     4,
			"connIdleS":       60,
			"connectTimeoutS": 0.25,
			"mayCancel":       true,
			"mayProbe":        true,
			"parallelTries":   true,
			"retryAfter":      true,
			"maxRetryAfterS":  2,
		},
		"me":             m.Index % c.InstanceCount,
		"nInstances":     c.InstanceCount,
		"membershipMode": "pushed",
		"report": map[string]any{
			"fields": []string{"utilization", "backlog", "outstanding", "x0"},
			"via":    "piggyback",
		},
		"tickS": 0.004,
		"zone":  m.Index % len(failureDomains),
	}
}
