package server

import (
	"fmt"

	"cinderroad/internal/dispatcher/cluster/auditlog"
	"cinderroad/internal/dispatcher/exporter"
	"cinderroad/internal/dispatcher/operatorconfig"
	"cinderroad/internal/dispatcher/requestlog"
)

// reportingReload is what a reload would change.
type reportingReload struct {
	file    *operatorconfig.Config
	outputs map[string]exporter.Output
	log     *requestlog.Log // nil: as before, or none
}

// prepareReload opens what an operator's file names and is not open yet; nothing changes before take.
func (r *reporting) prepareReload(file *operatorconfig.Config) (*reportingReload, error) {
	if r == nil {
		return &reportingReload{file: file}, nil
	}
	change := &reportingReload{file: file, outputs: map[string]exporter.Output{}}
	for key, make := range outputBuilders(file) {
		if change.outputs[key] = r.outputs[key]; change.outputs[key] == nil {
			change.outputs[key] = make()
		}
	}
	if l := file.RequestLog; l != nil && (r.requestLog == nil || !sameRequestLog(l, r.file.RequestLog)) {
		log, err := requestlog.Open(requestlog.Options{Path: l.Path, MaxBytes: l.MaxBytes, KeepFiles: *l.KeepFiles, DispatcherName: r.server.config.Name, Incarnation: auditlog.GenerationName(r.server.startedAt),
			Classes: r.server.config.classNames(), NodeSlot: r.metrics.NodeSlot, Report: r.logError("request log")})
		if err != nil {
			return nil, fmt.Errorf("operator's file: request_log.path: %w", err)
		}
		change.log = log
	}
	return change, nil
}

func sameRequestLog(x, y *operatorconfig.RequestLog) bool {
	return x != nil && y != nil && x.Path == y.Path && x.MaxBytes == y.MaxBytes && *x.KeepFiles == *y.KeepFiles
}

// outputBuilders are the outputs that a file names, by all that is said of each.
func outputBuilders(file *operatorconfig.Config) map[string]func() exporter.Output {
	all := map[string]func() exporter.Output{}
	for _, g := range file.Graphite {
		all[fmt.Sprintf("graphite %+v", g)] = func() exporter.Output {
			return exporter.NewGraphite(exporter.GraphiteOptions{Address: g.ParsedAddress, Prefix: g.Prefix, Pickle: g.Protocol == "pickle",
				ConfirmByClose: g.Confirm == "close", Timeout: g.TimeoutSeconds})
		}
	}
	for _, c := range file.Collectd {
		all[fmt.Sprintf("collectd %+v", c)] = func() exporter.Output {
			if c.Socket != "" {
				return exporter.NewCollectd(c.Socket, c.TimeoutSeconds)
			}
			security := map[string]exporter.Security{"none": exporter.SecurityNone, "sign": exporter.SecuritySign, "encrypt": exporter.SecurityEncrypt}[c.Security]
			return exporter.NewCollectdNetwork(exporter.CollectdNetworkOptions{Address: c.ParsedAddress, Security: security, Username: c.Username, Password: c.Password})
		}
	}
	return all
}

// install puts outputs and log in force. A receiver that is new gets what one that has gone had not got, if there is one of
// its kind: it has moved.
func (r *reporting) install(change *reportingReload) {
	for key, o := range change.outputs {
		if r.outputs[key] != nil {
			continue
		}
		moved := false
		for oldKey, old := range r.outputs {
			if change.outputs[oldKey] == nil && old.Kind() == o.Kind() {
				r.feed.ReplaceOutput(old, o)
				delete(r.outputs, oldKey)
				moved = true
				break
			}
		}
		if !moved {
			r.feed.AddOutput(o)
		}
	}
	for key, old := range r.outputs {
		if change.outputs[key] == nil {
			r.feed.RemoveOutput(old)
		}
	}
	r.outputs = change.outputs
	switch {
	case change.log != nil:
		r.closeLog(r.requestLog)
		r.requestLog = change.log
	case change.file.RequestLog == nil:
		r.closeLog(r.requestLog)
		r.requestLog = nil
	}
	r.file = change.file
}

// closeLog closes a log off the loop.
func (r *reporting) closeLog(l *requestlog.Log) {
	if l != nil {
		go l.Close()
	}
}

// applyReload puts a reload in force and names what needs a restart.
func (r *reporting) applyReload(change *reportingReload) (restart []string) {
	if r == nil {
		if change.file.RequestLog != nil || len(change.file.Graphite)+len(change.file.Collectd) > 0 {
			restart = append(restart, "operator's file: there was none of it at the start")
		}
		return restart
	}
	was := r.file.Telemetry
	now := change.file.Telemetry
	r.install(change)
	if was.IntervalSeconds != now.IntervalSeconds {
		r.feed.SetInterval(now.IntervalSeconds)
	}
	for name, same := range map[string]bool{"telemetry.spool_dir": was.SpoolDir == now.SpoolDir, "telemetry.spool_bytes": was.SpoolBytes == now.SpoolBytes,
		"telemetry.memory_bytes": was.MemoryBytes == now.MemoryBytes, "telemetry.node_series": *was.NodeSeries == *now.NodeSeries} {
		if !same {
			restart = append(restart, name)
		}
	}
	// What needs a restart stays as it runs, so that the next reload names it again.
	kept := *change.file
	kept.Telemetry, kept.Telemetry.IntervalSeconds = was, now.IntervalSeconds
	r.file = &kept
	return restart
}
