package requestaudit

import (
	"fmt"
	"strconv"
	"strings"

	"cinderroad/internal/dispatcher/telemetry"
)

// parsePoint parses a line in either format. The key is empty if the series isn't a counter of answers.
func parsePoint(line string) (key Key, p point, err error) {
	if rest, ok := strings.CutPrefix(line, "PUTVAL "); ok {
		return parsePutval(rest)
	}
	fields := strings.Fields(line)
	if len(fields) != 3 {
		return key, p, fmt.Errorf("%d fields, not PATH VALUE TIME", len(fields))
	}
	if p.value, err = strconv.ParseFloat(fields[1], 64); err == nil {
		p.time, err = strconv.ParseFloat(fields[2], 64)
	}
	if err != nil {
		return key, p, err
	}
	parts := strings.Split(fields[0], ".")
	if n := len(parts); n >= 5 && parts[n-4] == "classes" && parts[n-2] == "answers" {
		key = Key{parts[n-5], parts[n-3], parts[n-1]}
	}
	return key, p, nil
}

// parsePutval parses a PUTVAL line without its first word. Names there have _ instead of dots.
func parsePutval(rest string) (key Key, p point, err error) {
	id, rest, idOK := strings.Cut(strings.TrimPrefix(rest, `"`), `"`)
	host, series, seriesOK := strings.Cut(id, "/")
	values := rest[strings.LastIndexByte(rest, ' ')+1:]
	timestamp, value, timeOK := strings.Cut(values, ":")
	if !idOK || !seriesOK || !timeOK {
		return key, p, fmt.Errorf("no PUTVAL line")
	}
	if p.time, err = strconv.ParseFloat(timestamp, 64); err == nil {
		p.value, err = strconv.ParseFloat(value, 64)
	}
	if err != nil {
		return key, p, err
	}
	if name, ok := strings.CutPrefix(series, "cinderroad/derive-classes_"); ok {
		for verdict := range telemetry.NumVerdicts {
			if class, ok := strings.CutSuffix(name, "_answers_"+verdict.String()); ok {
				return Key{host, class, verdict.String()}, p, nil
			}
		}
	}
	return key, p, nil
}
