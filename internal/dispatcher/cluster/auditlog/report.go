package auditlog

// Report is the result of an audit. Times are the reference's, except for clocks that could not be corrected. Its JSON
// is a public format.
type Report struct {
	Clocks       []ClockOffset `json:"clocks"`
	Versions     []Version     `json:"versions"`
	Violations   []Violation   `json:"broken"`
	Stragglers   []Straggler   `json:"stragglers"`
	Gaps         []string      `json:"holes"`
	Inconclusive []string      `json:"untold"` // what could not be judged, and why
	Attempts     int           `json:"sends"`
	Judged       int           `json:"judged"` // attempts that were judged by their marks
}

// Version is when each dispatcher learned a version.
type Version struct {
	Source    string     `json:"source"`
	Epoch     uint64     `json:"descent,omitempty"`
	Revision  int64      `json:"rev"`
	First     string     `json:"first"` // the dispatcher that knew it first
	At        float64    `json:"at"`
	Adoptions []Adoption `json:"taken"`           // by the others, in order of time
	Never     []string   `json:"never,omitempty"` // dispatchers that ran and did not learn it
}

// Adoption is when a dispatcher learned a version.
type Adoption struct {
	Dispatcher  string  `json:"by"`
	After       float64 `json:"after_s"` // seconds after the first dispatcher
	Uncertainty float64 `json:"within_s"`
	ByPeer      bool    `json:"peer,omitempty"` // learned from peers
}

// Violation is a rule that a dispatcher broke, once or more.
type Violation struct {
	Dispatcher  string  `json:"by"`
	Rule        string  `json:"rule"`
	Node        string  `json:"node,omitempty"`
	Attempts    int     `json:"sends"`
	First       string  `json:"first"` // ID of the first such request
	At          float64 `json:"at"`
	LatestAfter float64 `json:"latest_s"` // greatest delay of such an attempt after the rule applied
}

// Straggler is a dispatcher that learned versions late.
type Straggler struct {
	Dispatcher   string  `json:"by"`
	Cause        string  `json:"cause"`
	Revision     int64   `json:"rev"` // the first that it lacked
	LastRevision int64   `json:"to"`  // the last that it lacked
	Since        float64 `json:"from"`
	Duration     float64 `json:"for_s"`
	Never        bool    `json:"never,omitempty"` // it had not caught up when its log ends
	Attempts     int     `json:"sends"`           // attempts meanwhile at workers that others knew to get no new work
}

// The causes of a late version.
const (
	CausePaused      = "asleep"
	CauseIsolated    = "cut off"
	CauseSlow        = "told and slow"
	CauseNotInformed = "not told"
	CauseUnclear     = "cannot be told: entries are missing"
)
