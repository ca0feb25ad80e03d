// Package status describes a control machine to operators: what it holds, what it leads, and which members it sees. It
// is the body of GET /-/status, as JSON.
package status

// Control is a control machine's view of itself and of the system. Fields are added over time, never changed.
type Control struct {
	Node           string      `json:"node"`
	Release        string      `json:"release"`    // of the program
	Version        uint64      `json:"version"`    // of the configuration that this machine holds; 0: none yet
	EvacuatedZones []string    `json:"evacuated"`  // zones
	ActiveProxies  int         `json:"proxies"`    // that may be sending, as budgets are divided among them
	ReadyProxies   int         `json:"ready"`      // proxies that the directory may give to clients
	Discovery      Discovery   `json:"discovery"`  // of runners
	Partitions     []Partition `json:"partitions"` // replicas of this machine
	Followers      []Follower  `json:"followers"`  // of this machine's feed
	Members        []Member    `json:"members"`
}

// Discovery is how the platform's list of runners is read. The leader of partition 0 reads it.
type Discovery struct {
	Holder       bool   `json:"holder"`      // this machine reads the list
	ListReceived bool   `json:"answered"`    // the platform has answered since this machine became the holder
	ListAgeMS    int64  `json:"list_age_ms"` // since the platform's last answer; means something on the holder that was answered
	CallCount    uint64 `json:"calls"`       // to the platform since the process started
}

// Partition is a replica of a partition of the control state.
type Partition struct {
	Partition    uint16    `json:"partition"`
	Replica      string    `json:"replica"` // of this machine
	Role         string    `json:"role"`
	Term         uint64    `json:"term"`
	Leader       string    `json:"leader"` // replica; empty: none known
	CommitIndex  uint64    `json:"commit"`
	AppliedIndex uint64    `json:"applied"`
	LastIndex    uint64    `json:"last"`
	ItemCount    int       `json:"items"`
	StalenessMS  int64     `json:"fresh_ms"`           // since a leader that a majority follows was heard
	LeaseMS      int64     `json:"lease_ms,omitempty"` // of a leader: for which no other can lead
	Replicas     []Replica `json:"replicas"`
}

// Replica is a member of a partition's group.
type Replica struct {
	Replica string `json:"replica"`
	Node    string `json:"node"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Voter   bool   `json:"voter"` // otherwise a learner
}

// Follower is a member that follows this machine's feed.
type Follower struct {
	Node               string `json:"node"`
	ConfigurationIndex uint64 `json:"configuration"` // index up to which it holds partition 0
	Behind             bool   `json:"behind"`        // there are changes of the configuration or of evacuations that it has not got
	SinceLastCallMS    int64  `json:"asked_ms"`      // since its last call
}

// Member is a process as the membership has it. Role and what follows it are empty until the member has told them.
type Member struct {
	Node         string `json:"node"`
	Address      string `json:"address"` // of its machine
	State        string `json:"state"`
	StateAgeMS   int64  `json:"since_ms"` // for which it has had that state here
	Role         string `json:"role"`
	Zone         string `json:"zone"`
	Serving      string `json:"serving"`
	FrontAddress string `json:"front"`
	Release      string `json:"release"`
}
