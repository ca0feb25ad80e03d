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
	name               string
	answers            int // followed by the other verdicts
	rejected, failed   int // followed by the other reasons
	attempts           int // first attempts, then retries, hedged requests, and hedged requests that won
	results            int // followed by the other results
	latency, startWait histogram
}

func (s *Set) addClasses() {
	for _, name := range ClassNames(s.options.Classes) {
		c := classSeries{name: name}
		prefix := "classes." + name + "."
		add := func(path string, d SeriesDoc) int {
			d.Pattern = "classes.<class>." + path
			s.describe(d)
			return s.add(prefix+path, d.Kind)
		}
		first := func(i *int, at, n int) {
			if n == 0 {
				*i = at
			}
		}
		for v := range NumVerdicts {
			first(&c.answers, add("answers."+v.String(), SeriesDoc{Unit: "jobs", Help: verdictHelp[v]}), int(v))
		}
		for r := range dispatch.ReasonCount {
			first(&c.rejected, add("refused."+reasonName(r), SeriesDoc{
				Unit: "jobs",
				Help: "Jobs refused or returned because: " + reasonHelp[r] + ".",
			}), int(r))
		}
		for r := range dispatch.ReasonCount {
			first(&c.failed, add("failed."+reasonName(r), SeriesDoc{
				Unit: "jobs",
				Help: "Jobs failed because: " + reasonHelp[r] + ".",
			}), int(r))
		}
		for i, d := range []SeriesDoc{
			{Pattern: "first", Help: "First attempts that have ended."},
			{Pattern: "repeats", Help: "Attempts made after another had ended, that have ended themselves."},
			{Pattern: "copies", Help: "Attempts made while another was out, that have ended."},
			{Pattern: "copies_won", Help: "Copies that served their job."},
		} {
			first(&c.attempts, add("fetches."+d.Pattern, SeriesDoc{Unit: "attempts", Help: d.Help}), i)
		}
		for r, name := range ResultNames {
			first(&c.results, add("fetches.end_"+name, SeriesDoc{Unit: "attempts", Help: "Attempts that ended as " + name + "."}), r)
		}
		for _, l := range []struct {
			to         *histogram
			name, help string
		}{
			{&c.latency, "latency", "From a job's arrival to its answer, of those served in the period"},
			{&c.startWait, "start_wait", "From a job's arrival to its start, of those served in the period whose start was told"},
		} {
			for i, q := range quantiles {
				at := add(l.name+"."+q.name+"_ms", SeriesDoc{
					Kind: Gauge,
					Unit: "ms",
					Help: l.help + ": " + q.name + ". None without answers.",
				})
				if i == 0 {
					*l.to = *newLatency(at)
				}
			}
		}
		s.classes = append(s.classes, c)
	}
}

// reasonName returns a reason's name in series.
func reasonName(r dispatch.Reason) string {
	if r == dispatch.ReasonNone {
		return "other"
	}
	return r.String()
}

var reasonHelp = [dispatch.ReasonCount]string{"no reason was worked out", "the list holds nobody who is ready",
	"everybody is too full for it to start in time", "the last attempt was turned away", "the last attempt found nobody",
	"the last attempt was called off before its first byte", "its time was over", "the last attempt failed at the backend",
	"the last attempt's connection broke", "the last attempt was never answered", "the last attempt was cancelled",
	"backends could do nothing with it", "nobody knows its class", "the decisions had forgotten it", "the front is evacuated",
	"there was no memory for its body", "the dispatcher is out of its lease"}

func (s *Set) class(i int) *classSeries {
	if i < 0 || i >= len(s.classes)-1 {
		i = len(s.classes) - 1
	}
	return &s.classes[i]
}

// ObserveAnswer implements dispatch.Observer.
func (s *Set) ObserveAnswer(answer *dispatch.AnswerRecord) {
	class, verdict := s.class(answer.Class), VerdictOf(answer)
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
		if answer.WinningAttempt >= 0 && answer.WinningAttempt < len(answer.Attempts) && answer.Attempts[answer.WinningAttempt].Hedged {
			s.values[class.attempts+3]++
		}
	}
}

// ObserveAttempt implements dispatch.Observer.
func (s *Set) ObserveAttempt(attempt *dispatch.AttemptRecord) {
	class := s.class(attempt.Class)
	switch {
	case attempt.Attempt == 0:
		s.values[class.attempts]++
	case attempt.Hedged:
		s.values[class.attempts+2]++
	default:
		s.values[class.attempts+1]++
	}
	s.values[class.results+int(attempt.Result)]++
	s.nodes.countAttempt(s, attempt)
}
