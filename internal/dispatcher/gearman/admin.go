package gearman

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"

	"cinderroad/internal/shared/slotmap"
)

// runAdminCommand carries out a command of the text protocol and returns the reply; an empty line has none.
func (p *peer) runAdminCommand(words []string) string {
	s := p.server
	if len(words) == 0 {
		return ""
	}
	command := ""
	if len(words) > 1 {
		command = words[0] + " " + words[1]
	}
	switch {
	case words[0] == "status":
		return s.statusText()
	case words[0] == "workers":
		return s.workersText()
	case command == "show jobs":
		return s.jobsText(func(j *job) string {
			return fmt.Sprintf("%s\t%d\t%d\t%d", j.handle, 0, boolToInt(!j.queued), boolToInt(j.running > 0))
		})
	case command == "show unique":
		return s.jobsText(func(j *job) string { return j.unique })
	case command == "cancel job" && len(words) == 3:
		return s.cancelJob(words[2])
	case words[0] == "maxqueue" && len(words) >= 2:
		return s.setMaxQueue(words[1], words[2:])
	case command == "create function" && len(words) == 3, command == "drop function" && len(words) == 3:
		return "ERR NOT_SUPPORTED Functions+stand+in+the+operator's+file\r\n"
	case words[0] == "version":
		return "OK cinderroad\r\n"
	case words[0] == "getpid":
		return fmt.Sprintf("OK %d\r\n", os.Getpid())
	case words[0] == "verbose":
		return "OK INFO\r\n"
	case words[0] == "shutdown":
		return s.shutDown()
	}
	return "ERR UNKNOWN_COMMAND Unknown+server+command\r\n"
}

// cancelJob ends a job that does not run yet, and tells its clients that it failed.
func (s *Server) cancelJob(handle string) string {
	j := s.jobs[handle]
	if j == nil || j.running > 0 {
		return "ERR NOT_FOUND No+such+waiting+job\r\n"
	}
	for _, waiter := range j.waiters {
		waiter.send(WorkFail, j.handle)
	}
	j.abandon()
	return "OK\r\n"
}

// setMaxQueue limits the jobs of a function that wait. Without a size, or with one below 1, there is no limit.
func (s *Server) setMaxQueue(name string, sizes []string) string {
	size := 0
	if len(sizes) > 0 {
		var err error
		size, err = strconv.Atoi(sizes[0])
		if err != nil {
			return "ERR INVALID_ARGUMENTS Size+is+no+number\r\n"
		}
	}
	if function := s.functions[name]; function != nil {
		function.maxQueue = max(size, 0)
	}
	return "OK\r\n"
}

// shutDown ends the process, where the operator allows that.
func (s *Server) shutDown() string {
	if !s.config.AllowShutdown || s.Shutdown == nil {
		return "ERR NOT_ALLOWED allow_shutdown+is+off\r\n"
	}
	s.loop.Defer(s.Shutdown)
	return "OK\r\n"
}

func boolToInt(value bool) int {
	if value {
		return 1
	}
	return 0
}

// statusText lists for each function its jobs, those of them that run, and the workers that can run them.
func (s *Server) statusText() string {
	workerCounts := map[string]int{}
	s.peers.Each(func(_ slotmap.Handle, p *peer) {
		if p.worker != nil {
			for name := range p.worker.abilities {
				workerCounts[name]++
			}
		}
	})
	var b strings.Builder
	for _, f := range s.config.Functions {
		fn := s.functions[f.Name]
		fmt.Fprintf(&b, "%s\t%d\t%d\t%d\n", f.Name, fn.jobs, fn.running, workerCounts[f.Name])
	}
	return b.String() + ".\n"
}

// workersText lists the connections, with the functions of those that are workers.
func (s *Server) workersText() string {
	var b strings.Builder
	s.peers.Each(func(h slotmap.Handle, p *peer) {
		var names []string
		if p.worker != nil {
			for name := range p.worker.abilities {
				names = append(names, name)
			}
		}
		slices.Sort(names)
		fmt.Fprintf(&b, "%d %s %s : %s\n", uint32(h), p.conn.Peer().Addr(), p.clientID, strings.Join(names, " "))
	})
	return b.String() + ".\n"
}

// jobsText formats every job with line, sorted.
func (s *Server) jobsText(line func(*job) string) string {
	var lines []string
	for _, j := range s.jobs {
		lines = append(lines, line(j)+"\n")
	}
	slices.Sort(lines)
	return strings.Join(lines, "") + ".\n"
}
