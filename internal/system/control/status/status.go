// Package status defines the status of a control machine as operators read it: the JSON body of GET /-/status. cinderctl
// and operators' scripts parse it: fields are added over time, and never renamed or removed.
package status

// Control is a control machine's view of itself and of the system.
type Control struct {
	Node           string      `json:"node"`
	Release        string      `json:"release"`            // of the program
	Version        uint64      `json:"version"`            // of the configuration that this machine holds; 0: none yet
	EvacuatedZones []string    `json:"evacuated"`          // ordered by name
	ActiveProxies  int         `json:"proxies"`            // that may be sending; budgets are divided by this number
	ReadyProxies   int         `json:"ready"`              // that the directory may return to clients
	Discovery      Discovery   `json:"discovery"`          // of runners
	Partitions     []Partition `json:"partitions"`         // local replicas
	Followers      []Follower  `json:"followers"`          // of this machine's feed
	Members        []Member    `json:"members"`            // all processes of the system
	Counters       *Counters   `json:"counters,omitempty"` // local replica of the replicated counters; nil: none are served
}

// Discovery describes the polling of the platform's list of runners, which the leader of partition 0 does.
type Discovery struct {
	Holder       bool   `json:"holder"`      // this machine polls the list
	ListReceived bool   `json:"answered"`    // the platform has responded since this machine became the holder
	ListAgeMS    int64  `json:"list_age_ms"` // since the platform's last response; valid if Holder and ListReceived
	CallCount    uint64 `json:"calls"`       // to the platform since the process started
}

// Partition describes the local replica of a partition of the control state.
type Partition struct {
	Partition    uint16    `json:"partition"`
	Replica      string    `json:"replica"` // ID of the local replica
	Role         string    `json:"role"`
	Term         uint64    `json:"term"`
	Leader       string    `json:"leader"` // replica ID; empty: unknown
	CommitIndex  uint64    `json:"commit"`
	AppliedIndex uint64    `json:"applied"`
	LastIndex    uint64    `json:"last"` // of the log
	ItemCount    int       `json:"items"`
	StalenessMS  int64     `json:"fresh_ms"`           // see replica.Replicas.Staleness; the largest duration: it never was
	LeaseMS      int64     `json:"lease_ms,omitempty"` // remaining lease of a leader
	Replicas     []Replica `json:"replicas"`           // of the group
}

// Replica is a member of a partition's group.
type Replica struct {
	Replica string `json:"replica"` // ID
	Node    string `json:"node"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Voter   bool   `json:"voter"` // otherwise a learner
}

// Follower is a member that follows this machine's feed.
type Follower struct {
	Node               string `json:"node"`
	ConfigurationIndex uint64 `json:"configuration"` // index that it holds of partition 0
	Behind             bool   `json:"behind"`        // it lacks changes of the configuration or of evacuations
	SinceLastCallMS    int64  `json:"asked_ms"`
}

// Member is a process as membership knows it. Role and the fields after it are empty until the member has announced them.
type Member struct {
	Node         string `json:"node"`
	Address      string `json:"address"`
	State        string `json:"state"`    // alive, suspect, dead or left
	StateAgeMS   int64  `json:"since_ms"` // since this machine has seen it in that state
	Role         string `json:"role"`
	Zone         string `json:"zone"`
	Serving      string `json:"serving"`
	FrontAddress string `json:"front"` // for clients, of a proxy
	Release      string `json:"release"`
}
