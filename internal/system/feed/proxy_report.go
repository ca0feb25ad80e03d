package feed

// ProxyReport is what a proxy tells the agent of its machine, as Proxy.Report, every second and at once on a change.
type ProxyReport struct {
	Ready    bool   // it takes requests
	Stopping bool   // it ends soon: clients are not to be sent to it
	Front    string // address that clients use
	Learnt   []byte // what it has learnt of runners, for its next life; empty: nothing new
}

// ProxyReportReply holds what the proxy's earlier life had learnt, if the report holds nothing of that kind and says that
// the proxy is not ready: a proxy asks for it by its first report.
type ProxyReportReply struct {
	Learnt []byte
}
