package placement

import "time"

// The constants of the policy; ratios wherever a time or amount can be derived.
const (
	planPeriod   = 100 * time.Millisecond // monitoring period
	meanSpan     = 1.5                    // seconds over which own loads are averaged to guess those of others
	ownWeight    = 0.35                   // of a runner's own mean in that guess; the rest is the mean of all runners
	waitFade     = 0.5                    // seconds in which a wait that was seen stops counting
	zoneShare    = 0.0125                 // of its size by which a runner in the own zone is preferred, at least zoneLeast
	zoneLeast    = 0.5
	lateShare    = 0.6  // of a target that a first answer may take before it is a sign of load
	mostBacklog  = 2.0  // multiples of its size that waits may add to a runner's load
	fullSpan     = 0.25 // of the tightest target for which a runner that was full gets nothing, if another may
	memoryShare  = 0.95 // of a runner's memory that is planned with
	speedStep    = 0.05 // by which the speed of reading follows what is seen
	speedAt      = 0.8  // the share of prompts that are read more slowly than the speed learnt
	keptPrice    = 4.0  // reading a shared part again costs this multiple of its time, since it is priced
	keptLeast    = 4.0  // slots by which the owner of a chain is preferred at least
	keptSpan     = 30 * time.Second
	keptEntries  = 512
	coldShare    = 0.8             // of the bound on cold runners that is planned with
	coldSpan     = 1.05            // seconds; the bound is for one
	joinHold     = 2 * time.Second // after a start or a sleep, until others count this proxy
	asleepAfter  = time.Second     // without a call: the process was frozen
	guardSpan    = 2 * time.Second // in which the list comes to show that a runner is cold
	fewerHold    = 2 * time.Second
	coldLoad     = 0.25 // of its ceiling that a cold runner is held to bear
	retryShare   = 0.7  // of the ratio of retries that is planned with
	stockShare   = 0.6  // of the retries beyond the ratio
	rankFirst    = 3    // priority of rank 0
	rankStep     = 2
	lowest       = 9 // priority
	waitedShare  = 0.5
	busyShare    = 0.5 // of the places of its runners that must be taken before a request is refused
	connsShare   = 0.9 // of a runner's connections that are shared among the proxies
	firstTarget  = 1.0 // seconds, until a route is seen
	firstTimeout = 5.0
	mostRoutes   = 4096
	suspectFirst = 300 * time.Millisecond
	suspectMost  = 4 * time.Second
	suspectAll   = 0.5 // of a service's runners that are suspect at once: the cause is shared, and they are not to blame
	learnSlow    = 0.1
	leastBackoff = 50 * time.Millisecond
	mostBackoff  = 2 * time.Second
)
