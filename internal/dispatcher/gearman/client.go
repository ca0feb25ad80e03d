package gearman

import (
	"strconv"
	"strings"
)

// handlePacket handles a packet of a client; all others are a worker's.
func (p *peer) handlePacket(packet Packet) {
	switch packet.Kind {
	case SubmitJob, SubmitJobBg:
		p.submit(packet, priorityNormal, packet.Kind == SubmitJobBg)
	case SubmitJobHigh, SubmitJobHighBg:
		p.submit(packet, priorityHigh, packet.Kind == SubmitJobHighBg)
	case SubmitJobLow, SubmitJobLowBg:
		p.submit(packet, priorityLow, packet.Kind == SubmitJobLowBg)
	case SubmitJobEpoch:
		p.submit(packet, priorityNormal, true)
	case SubmitJobSched, SubmitReduce, SubmitReduceBg:
		p.send(Error, codeNotSupported, "this kind of submission is not supported")
	case GetStatus:
		p.send(StatusRes, append([]string{packet.Args[0]}, p.server.jobs[packet.Args[0]].status()...)...)
	case GetStatusUnique:
		j := p.server.jobByUnique(packet.Args[0])
		count := "0"
		if j != nil {
			count = strconv.Itoa(len(j.waiters))
		}
		p.send(StatusResUnique, append(append([]string{packet.Args[0]}, j.status()...), count)...)
	case EchoReq:
		p.send(EchoRes, packet.Args[0])
	case OptionReq:
		if packet.Args[0] != "exceptions" {
			p.send(Error, codeUnknownOption, "unknown option")
			return
		}
		p.exceptions = true
		p.send(OptionRes, packet.Args[0])
	case SetClientID:
		p.clientID = strings.Join(strings.Fields(packet.Args[0]), "_")
	case AllYours: // asks to be the preferred connection of a client with several servers: nothing to do
	default:
		p.handleWorkerPacket(packet)
	}
}

// submit creates a job, or joins the pending one with the same function and unique id.
func (p *peer) submit(packet Packet, priority int, background bool) {
	s := p.server
	name := packet.Args[0]
	unique := packet.Args[1]
	data := packet.Args[len(packet.Args)-1]
	fn := s.functions[name]
	if code, reason := s.rejectionOf(fn, name); code != "" {
		p.send(Error, code, reason)
		return
	}
	if unique == "-" { // by the protocol, the data is then the unique id
		unique = data
	}
	if j := s.jobsByUnique[uniqueKey{name, unique}]; j != nil && unique != "" {
		p.join(j, background)
		return
	}
	startAt := 0.0
	if packet.Kind == SubmitJobEpoch {
		seconds, err := strconv.ParseInt(packet.Args[2], 10, 64)
		if err != nil {
			p.send(Error, codeBadPacket, "epoch is no number")
			return
		}
		startAt = float64(seconds)
	}
	isFunctionFull := fn.maxQueue > 0 && fn.jobs-fn.running >= fn.maxQueue
	isServerFull := len(s.jobs) >= s.config.MaxJobs || s.pendingBytes+len(data) > s.config.MaxBytes
	if isFunctionFull || isServerFull || !s.limiter.ReserveJob(len(data)) {
		p.send(Error, codeQueueFull, "job queue is full")
		return
	}
	j := s.addJob(fn, unique, data, priority, background)
	if !background {
		j.waiters = []*peer{p}
		p.pendingJobs++
	}
	p.send(JobCreated, j.handle)
	if startAt > s.loop.Now() {
		j.startTimer = s.loop.At(startAt, j.submit)
		return
	}
	j.submit()
}

// rejectionOf returns the error code and text for a new job of a function, nil if it is not configured; an empty code
// accepts it.
func (s *Server) rejectionOf(fn *function, name string) (code, reason string) {
	switch {
	case fn == nil: // its retry safety is unknown, so it is never served
		return codeUnknownFunction, "no class is configured for function " + name
	case s.stopping:
		return codeShuttingDown, "shutting down"
	case s.evacuating:
		return codeShuttingDown, "evacuated, come back later"
	case s.rejecting:
		return codeShuttingDown, "out of lease, come back later"
	}
	return "", ""
}

// join adds a submission to a pending job. A client that submits twice in the foreground is sent two results, one for
// each of its tasks.
func (p *peer) join(j *job, background bool) {
	s := p.server
	s.Counts.Coalesced++
	if background && !j.background {
		j.background = true
		s.Counts.Background++
	}
	p.send(JobCreated, j.handle)
	if !background {
		j.waiters = append(j.waiters, p)
		p.pendingJobs++
	}
}

// addJob adds a job to the server's tables and counts it. The caller has reserved its data with the limiter;
// job.close undoes both.
func (s *Server) addJob(fn *function, unique, data string, priority int, background bool) *job {
	s.lastSerial++
	j := &job{
		server:      s,
		handle:      s.handlePrefix + strconv.FormatUint(s.lastSerial, 10),
		unique:      unique,
		data:        data,
		function:    fn,
		background:  background,
		priority:    priority,
		numerator:   "0",
		denominator: "0",
	}
	s.jobs[j.handle] = j
	if unique != "" {
		s.jobsByUnique[uniqueKey{fn.Name, unique}] = j
	}
	fn.jobs++
	s.pendingBytes += len(data)
	s.Counts.Jobs++
	if background {
		s.Counts.Background++
	}
	return j
}
