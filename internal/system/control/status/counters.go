package status

// Counters describes the local replica of the replicated counters. Origins are in hexadecimal.
type Counters struct {
	Running         bool              `json:"running"`              // false: the disk or the peers are not known yet, what follows is empty
	CatchingUp      bool              `json:"catching_up"`          // reads are answered by other machines only
	DiskFault       string            `json:"disk_fault,omitempty"` // why additions are rejected; empty: the disk works
	Origin          string            `json:"origin"`               // of this disk's operation log
	OriginResets    int               `json:"origin_resets"`        // times the disk was found to have gone back in time
	Counters        int               `json:"counters"`
	Operations      int               `json:"operations"`        // distinct ones
	Entries         int               `json:"entries"`           // in the logs of all origins
	MaxEntries      int               `json:"max_entries"`       // beyond it additions are rejected
	UnsyncedEntries int               `json:"unsynced_entries"`  // of Entries, not on the disk yet
	PendingAdds     int               `json:"pending_additions"` // that wait for their replication
	NeededMachines  int               `json:"needed_machines"`   // that must hold an operation now before it is acknowledged
	NeededZones     int               `json:"needed_zones"`      // that these must be in
	Vector          map[string]uint64 `json:"vector"`            // by origin: the highest sequence number on this disk
	Peers           []CounterPeer     `json:"peers"`             // by address
}

// CounterPeer is the replica of another machine, as the local one knows it.
type CounterPeer struct {
	Address      string            `json:"address"` // for calls between processes
	Zone         string            `json:"zone"`
	Origin       string            `json:"origin"`         // empty: not known
	Reachable    bool              `json:"reachable"`      // otherwise additions are acknowledged without it
	Replied      bool              `json:"replied"`        // at least once to this process
	SinceReplyMS int64             `json:"since_reply_ms"` // if Replied
	Lacks        uint64            `json:"lacks"`          // entries on this disk that it is not known to hold
	Ahead        uint64            `json:"ahead"`          // entries that it holds and this disk does not
	Lag          map[string]uint64 `json:"lag"`            // Lacks by origin
}
