package server

import (
	"fmt"

	"cinderroad/internal/dispatcher/cluster/auditlog"
	"cinderroad/internal/dispatcher/exporter"
	"cinderroad/internal/dispatcher/operatorconfig"
	"cinderroad/internal/dispatcher/requestlog"
)

// reportingReload is a checked change of the reporting's configuration, with its log opened.
type reportingReload struct {
	operatorConfig *operatorconfig.Config
	outputs        map[string]exporter.Output // new ones hold nothing before they are added to the exporter
	requestLog     *requestlog.Log            // nil: as before, or none
}

// prepareReload opens what an operator's file names and is not open yet. Nothing changes before applyReload.
func (r *reporting) prepareReload(file *operatorconfig.Config) (*reportingReload, error) {
	if r == nil {
		return &reportingReload{operatorConfig: file}, nil
	}
	change := &reportingReload{operatorConfig: file, outputs: map[string]exporter.Output{}}
	for key, build := range outputBuilders(file) {
		if open := r.outputs[key]; open != nil {
			change.outputs[key] = open
		} else {
			change.outputs[key] = build()
		}
	}
	section := file.RequestLog
	isOpen := r.requestLog != nil && sameRequestLog(section, r.operatorConfig.RequestLog)
	if section != nil && !isOpen {
		log, err := requestlog.Open(requestlog.Options{
			Path:           section.Path,
			MaxBytes:       section.MaxBytes,
			KeepFiles:      *section.KeepFiles,
			DispatcherName: r.server.config.Name,
			Incarnation:    auditlog.GenerationName(r.server.startedAt),
			Classes:        r.server.config.classNames(),
			NodeSlot:       r.metrics.NodeSlot,
			Report:         r.logError("request log I/O error"),
		})
		if err != nil {
			return nil, fmt.Errorf("operator's file: request_log.path: %w", err)
		}
		change.requestLog = log
	}
	return change, nil
}

// sameRequestLog reports whether two sections configure the same log.
func sameRequestLog(a, b *operatorconfig.RequestLog) bool {
	return a != nil && b != nil && a.Path == b.Path && a.MaxBytes == b.MaxBytes && *a.KeepFiles == *b.KeepFiles
}

// outputBuilders returns a constructor for each output that a file configures, by the text of all that it says of the output:
// an output is kept through a reload if nothing of that changes.
func outputBuilders(file *operatorconfig.Config) map[string]func() exporter.Output {
	builders := map[string]func() exporter.Output{}
	for _, g := range file.Graphite {
		builders[fmt.Sprintf("graphite %+v", g)] = func() exporter.Output {
			return exporter.NewGraphite(exporter.GraphiteOptions{
				Address:        g.ParsedAddress,
				Prefix:         g.Prefix,
				Pickle:         g.Protocol == "pickle",
				ConfirmByClose: g.Confirm == "close",
				Timeout:        g.TimeoutSeconds,
			})
		}
	}
	for _, c := range file.Collectd {
		builders[fmt.Sprintf("collectd %+v", c)] = func() exporter.Output {
			if c.Socket != "" {
				return exporter.NewCollectd(c.Socket, c.TimeoutSeconds)
			}
			security := map[string]exporter.Security{
				"none":    exporter.SecurityNone,
				"sign":    exporter.SecuritySign,
				"encrypt": exporter.SecurityEncrypt,
			}[c.Security]
			return exporter.NewCollectdNetwork(exporter.CollectdNetworkOptions{
				Address:  c.ParsedAddress,
				Security: security,
				Username: c.Username,
				Password: c.Password,
			})
		}
	}
	return builders
}

// install replaces outputs and request log. An output that is new takes over what was not delivered to one of the same kind
// that is configured no more: the receiver has moved.
func (r *reporting) install(change *reportingReload) {
	for key, output := range change.outputs {
		if r.outputs[key] == nil && !r.replaceMovedOutput(output, change) {
			r.exporter.AddOutput(output)
		}
	}
	for key, old := range r.outputs {
		if change.outputs[key] == nil {
			r.exporter.RemoveOutput(old)
		}
	}
	r.outputs = change.outputs
	switch {
	case change.requestLog != nil:
		r.closeLog(r.requestLog)
		r.requestLog = change.requestLog
	case change.operatorConfig.RequestLog == nil:
		r.closeLog(r.requestLog)
		r.requestLog = nil
	}
	r.operatorConfig = change.operatorConfig
}

// replaceMovedOutput replaces an output of the same kind that change no longer has, and reports whether there was one.
func (r *reporting) replaceMovedOutput(output exporter.Output, change *reportingReload) bool {
	for key, old := range r.outputs {
		if change.outputs[key] == nil && old.Kind() == output.Kind() {
			r.exporter.ReplaceOutput(old, output)
			delete(r.outputs, key)
			return true
		}
	}
	return false
}

// closeLog closes a log off the loop, since that waits for the disk. Nothing waits for it.
func (r *reporting) closeLog(log *requestlog.Log) {
	if log != nil {
		go log.Close()
	}
}

// applyReload applies a prepared reload and returns the names of what needs a restart.
func (r *reporting) applyReload(change *reportingReload) (restart []string) {
	if r == nil {
		if change.operatorConfig.RequestLog != nil || len(change.operatorConfig.Graphite)+len(change.operatorConfig.Collectd) > 0 {
			restart = append(restart, "operator's file: there was none of it at the start")
		}
		return restart
	}
	before, after := r.operatorConfig.Telemetry, change.operatorConfig.Telemetry
	r.install(change)
	if before.IntervalSeconds != after.IntervalSeconds {
		r.exporter.SetInterval(after.IntervalSeconds)
	}
	for name, same := range map[string]bool{
		"telemetry.spool_dir":    before.SpoolDir == after.SpoolDir,
		"telemetry.spool_bytes":  before.SpoolBytes == after.SpoolBytes,
		"telemetry.memory_bytes": before.MemoryBytes == after.MemoryBytes,
		"telemetry.node_series":  *before.NodeSeries == *after.NodeSeries,
	} {
		if !same {
			restart = append(restart, name)
		}
	}
	// What needs a restart keeps its value, so that the next reload reports it again.
	file := *change.operatorConfig
	file.Telemetry = before
	file.Telemetry.IntervalSeconds = after.IntervalSeconds
	r.operatorConfig = &file
	return restart
}
