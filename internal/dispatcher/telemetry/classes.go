package telemetry

import "cinderroad/internal/dispatcher/dispatch"

// unknownClassName names the series of jobs without a known class.
const unknownClassName = "unknown"

// ClassNames returns the classes' names in series, and a last one for jobs whose class is unknown.
func ClassNames(classes []string) []string {
	return SanitizeNames(append(classes[:len(classes):len(classes)], unknownClassName))
}

// classSeries has the index of the first series of each group of a class.
type classSeries struct {
	name      string
	answers   int // followed by the other verdicts
	rejected  int // followed by the other reasons
	failed    int // followed by the other reasons
	attempts  int // followed by the others, at the offsets attemptFirst and so on
	results   int // followed by the other results
	latency   histogram
	startWait histogram
}

// The series of attempts, as offsets from classSeries.attempts.
const (
	attemptFirst = iota
	attemptRetry
	attemptHedged
	attemptHedgedWon
	attemptSeriesCount
)

var attemptDocs = [attemptSeriesCount]SeriesDoc{
	attemptFirst:     {Pattern: "first", Help: "First attempts that have ended."},
	attemptRetry:     {Pattern: "repeats", Help: "Retries that have ended: attempts made after another attempt had ended."},
	attemptHedged:    {Pattern: "copies", Help: "Hedged requests that have ended: attempts made while another was in flight."},
	attemptHedgedWon: {Pattern: "copies_won", Help: "Hedged requests that served their job."},
}

func (s *Set) addClasses() {
	for _, name := range ClassNames(s.options.Classes) {
		s.classes = append(s.classes, s.addClass(name))
	}
}

// addClass adds the series of a class. Their order is that of the encoded values.
func (s *Set) addClass(name string) classSeries {
	c := classSeries{name: name}
	c.answers = s.table.Len()
	for verdict := range NumVerdicts {
		s.addClassSeries(name, "answers."+verdict.String(), SeriesDoc{Unit: "jobs", Help: verdictHelp[verdict]})
	}
	c.rejected = s.table.Len()
	for reason := range dispatch.ReasonCount {
		help := "Jobs rejected or queued again because: " + reasonHelp[reason] + "."
		s.addClassSeries(name, "refused."+reasonName(reason), SeriesDoc{Unit: "jobs", Help: help})
	}
	c.failed = s.table.Len()
	for reason := range dispatch.ReasonCount {
		help := "Jobs failed because: " + reasonHelp[reason] + "."
		s.addClassSeries(name, "failed."+reasonName(reason), SeriesDoc{Unit: "jobs", Help: help})
	}
	c.attempts = s.table.Len()
	for _, doc := range attemptDocs {
		s.addClassSeries(name, "fetches."+doc.Pattern, SeriesDoc{Unit: "attempts", Help: doc.Help})
	}
	c.results = s.table.Len()
	for _, result := range ResultNames {
		s.addClassSeries(name, "fetches.end_"+result, SeriesDoc{Unit: "attempts", Help: "Attempts that ended with result " + result + "."})
	}
	c.latency = s.addClassHistogram(name, "latency", "Time from arrival to answer of the jobs served in the period")
	c.startWait = s.addClassHistogram(name, "start_wait",
		"Time from arrival to start of the jobs served in the period whose start was reported")
	return c
}

// addClassSeries adds one series of a class. The doc's pattern is derived from its path below the class.
func (s *Set) addClassSeries(class, path string, doc SeriesDoc) {
	doc.Pattern = "classes.<class>." + path
	s.describe(doc)
	s.add("classes."+class+"."+path, doc.Kind)
}

// addClassHistogram adds the quantiles of a latency of a class.
func (s *Set) addClassHistogram(class, name, help string) histogram {
	first := s.table.Len()
	for _, quantile := range quantiles {
		s.addClassSeries(class, name+"."+quantile.name+"_ms", SeriesDoc{
			Kind: Gauge,
			Unit: "ms",
			Help: help + ": " + quantile.name + ". None without answers.",
		})
	}
	return *newHistogram(first)
}

// reasonName returns a reason's name in series.
func reasonName(r dispatch.Reason) string {
	if r == dispatch.ReasonNone {
		return "other"
	}
	return r.String()
}

var reasonHelp = [dispatch.ReasonCount]string{
	dispatch.ReasonNone:             "the reason is unknown",
	dispatch.ReasonNoReadyMember:    "the list has no ready node",
	dispatch.ReasonNoCapacity:       "no node has the capacity to start it in time",
	dispatch.ReasonRejected:         "the last attempt was rejected",
	dispatch.ReasonUnreachable:      "the last attempt could not connect",
	dispatch.ReasonWithdrawn:        "the last attempt was withdrawn before its first byte",
	dispatch.ReasonDeadlineExceeded: "its deadline was exceeded",
	dispatch.ReasonBackendError:     "the last attempt failed at the backend",
	dispatch.ReasonConnectionLost:   "the connection of the last attempt was lost",
	dispatch.ReasonTimeout:          "the last attempt timed out",
	dispatch.ReasonCancelled:        "the last attempt was cancelled",
	dispatch.ReasonInvalidJob:       "backends reported it as invalid",
	dispatch.ReasonUnknownClass:     "its class is unknown",
	dispatch.ReasonOverdue:          "the load balancer did not answer it by its deadline",
	dispatch.ReasonEvacuated:        "the dispatcher is evacuated",
	dispatch.ReasonNoMemory:         "there was no memory for its body",
	dispatch.ReasonLeaseExpired:     "the dispatcher is out of its lease",
}

// class returns the series of a class by its number in the settings. A number that is out of range, such as -1, gets those
// of unknown classes.
func (s *Set) class(i int) *classSeries {
	if i < 0 || i >= len(s.classes)-1 {
		i = len(s.classes) - 1
	}
	return &s.classes[i]
}

// ObserveAnswer implements dispatch.Observer.
func (s *Set) ObserveAnswer(answer *dispatch.AnswerRecord) {
	class := s.class(answer.Class)
	verdict := VerdictOf(answer)
	s.values[class.answers+int(verdict)]++
	switch verdict {
	case Rejected, Requeued:
		s.values[class.rejected+int(answer.Reason)]++
	case Failed:
		s.values[class.failed+int(answer.Reason)]++
	case InTime, Late:
		class.latency.record(answer.AnsweredAt - answer.ArrivedAt)
		if answer.StartedAt > 0 {
			class.startWait.record(answer.StartedAt - answer.ArrivedAt)
		}
		if wonByHedge(answer) {
			s.values[class.attempts+attemptHedgedWon]++
		}
	}
}

// wonByHedge reports whether a hedged request served the job. WinningAttempt names no attempt if none won.
func wonByHedge(answer *dispatch.AnswerRecord) bool {
	winner := answer.WinningAttempt
	return winner >= 0 && winner < len(answer.Attempts) && answer.Attempts[winner].Hedged
}

// ObserveAttempt implements dispatch.Observer.
func (s *Set) ObserveAttempt(attempt *dispatch.AttemptRecord) {
	class := s.class(attempt.Class)
	switch {
	case attempt.Attempt == 0:
		s.values[class.attempts+attemptFirst]++
	case attempt.Hedged:
		s.values[class.attempts+attemptHedged]++
	default:
		s.values[class.attempts+attemptRetry]++
	}
	s.values[class.results+int(attempt.Result)]++
	s.nodes.countAttempt(s, attempt)
}
