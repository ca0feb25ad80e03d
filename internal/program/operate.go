package program

import (
	"go.uber.org/zap"

	"cinderroad/internal/console"
)

// calls are what the staff can ask for at the second address.
func (p *Program) calls() map[string]console.Call {
	return map[string]console.Call{
		"/api/ready":    {Method: "GET", Do: func(_ string, reply console.Reply) { p.ready(reply) }},
		"/api/evacuate": {Method: "PUT", Do: func(_ string, reply console.Reply) { p.evacuate(true); reply(200, "evacuating") }},
		"/api/rejoin":   {Method: "PUT", Do: func(_ string, reply console.Reply) { p.evacuate(false); reply(200, "taking clients") }},
	}
}

// ready says whether this process takes clients, as far as it is up to the process: one that was evacuated by hand
// could.
func (p *Program) ready(reply console.Reply) {
	if p.stopping {
		reply(503, "stopping")
		return
	}
	reply(200, "ready")
}

// evacuate empties the dispatcher, or has it take clients again.
func (p *Program) evacuate(on bool) {
	p.log.Info("program: evacuate", zap.Bool("on", on))
	p.front.Evacuate(on)
	if p.gearman != nil {
		p.gearman.Evacuate(on)
	}
}
