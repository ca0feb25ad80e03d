package placement

import "time"

// The constants of the policy are ratios wherever a time or an amount can be derived. Those that were measured say so;
// TestDistribution is the measurement.

// The capacity plan.
const (
	planPeriod         = 100 * time.Millisecond // monitoring period
	usageWindow        = 1.5                    // seconds over which own loads are averaged to guess those of others; measured
	waitDecay          = 0.5                    // seconds in which a wait that was seen stops counting; measured
	lateStartShare     = 0.6                    // of an aim that a first answer may take before it is a sign of load
	maxWaitLoad        = 2.0                    // multiples of its size that waits may add to a runner's load
	plannedMemoryShare = 0.95                   // of an engine's memory that is planned with
	initialTarget      = 1.0                    // seconds; the aim of a service of which no route has been asked for
	initialTimeout     = 5.0                    // seconds; the longest time-out before a route is seen
	fleetLearningRate  = 0.1                    // weight of a sample in means over all runners, which get more of them
	targetForgetRate   = 0.002                  // with which the tightest aim of a service forgets
	maxRoutes          = 4096                   // whose answers are remembered
	speedWindowSize    = 64                     // prompts by which the speed of reading is known
	minSpeedSamples    = 4                      // of them that count for more than what an earlier life had learnt
	speedQuantile      = 0.8                    // the share of prompts that are read more slowly than the speed learnt
)

// What proxies tell each other.
const (
	prefillSlotShare      = 0.5                   // of the memory that a slot has: so many tokens being read weigh as much as a slot; measured
	minNoticeThreshold    = 1.0                   // slots that the reading of a prompt takes for the other proxies to be told, at least
	maxPlanAge            = 10 * time.Millisecond // the age of a plan that a choice goes by, where others tell of their prompts
	maxNoticeRate         = 300.0                 // notices a second; where more come, longer prompts alone are told
	noticeThresholdGrowth = 1.1                   // of the length from which prompts are told, in a period in which too many came
	noticeThresholdDecay  = 0.98                  // of it in any other
	noticeValidity        = 2 * time.Second       // after the last notice, in which the prompts of all others are taken to be known
)

// The choice.
const (
	zonePreferenceShare = 0.0125 // of its size by which a runner in the own zone is preferred, at least minZonePreference; measured
	minZonePreference   = 0.5    // slots
	saturatedShare      = 0.25   // of its service's tightest aim for which a runner that was full gets nothing, if another may
	connectionShare     = 0.9    // of a runner's connections that are shared among the proxies
	firstPriority       = 3      // priority of rank 0: an engine takes 5 where none is told
	priorityStep        = 2
	longPromptSlots     = 1.0 // slots that the reading of a prompt takes, above which it is long; measured
	longPromptPenalty   = 4   // long prompts come after short ones of two ranks below; measured
	lowestPriority      = 9   // priority
)

// Kept parts.
const (
	prefixPrice          = 4.0  // reading a shared part again costs this multiple of its time, since it is priced; measured
	minPrefixPreference  = 0.5  // slots by which the owner of a chain is preferred at least; measured
	recentPrefixShare    = 0.75 // of what is saved at the owner, where this proxy sent the chain lately
	secondaryPrefixShare = 0.5  // and at the runner that comes after the owner
	prefixHistorySpan    = 30 * time.Second
	prefixHistorySize    = 1024
	maxRegions           = 16   // whose owners of a chain are told apart
	bytesPerToken        = 18.0 // bytes between regions that are priced as a token read again is: 15 to 23 where this was measured
	reuseLearningRate    = 0.05 // weight of a request in the share of those that come again
	maxReuse             = 0.98 // of it that is believed
)

// Cold runners and the proxies that share them.
const (
	slowStartPlannedShare = 0.8             // of the bound on cold runners that is planned with
	slowStartWindow       = 1.05            // seconds in which a share is spent; the bound is for one second
	slowStartInitialShare = 0.25            // of its ceiling that a runner is held to bear when it starts cold
	joinDelay             = 2 * time.Second // after a start or a sleep, until others count this proxy
	sleepThreshold        = time.Second     // without a call: the process was frozen
	proxyRemovalDelay     = 2 * time.Second // until a lower number of proxies counts
	slowStartGuard        = 2 * time.Second // in which the list comes to show that a runner is cold
)

// Repeats.
const (
	retryRatioShare     = 0.7 // of the ratio of retries that is planned with
	retryAllowanceShare = 0.6 // of the retries beyond the ratio
)

// Refusals.
const (
	maxWaitShare     = 0.5         // of the time left that a request may wait
	yieldShare       = 0.8         // of what a request of the next more urgent rank may wait
	yieldDuration    = time.Second // after a refusal for which less urgent requests yield
	maxRanks         = 8           // that are told apart
	minOccupiedShare = 0.5         // of the places of its runners that must be taken before a request is refused
	minRetryAfter    = 50 * time.Millisecond
	maxRetryAfter    = 2 * time.Second
)

// Suspicion.
const (
	minSuspectDuration = 300 * time.Millisecond // for which a silent runner gets nothing, longer each time
	maxSuspectDuration = 4 * time.Second
	sharedFaultShare   = 0.5 // of a service's runners that are suspect at once: the cause is shared
)
