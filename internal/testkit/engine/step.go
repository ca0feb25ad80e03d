package engine

import "time"

// plan is how far a running task has got.
type plan struct {
	part    int  // of the prompt, that is read next
	read    int  // tokens of that part
	again   int  // generated tokens that are still to be read again
	context int  // tokens that are in memory
	room    int  // tokens that the generated ones may take in what is held
	now     int  // prompt tokens that the current step reads
	decodes bool // it had its whole prompt when the step began
}

// reading says whether the prompt is not read whole yet.
func (t *Task) reading() bool {
	return t.plan.part < len(t.Request.Chunks) || t.plan.again > 0
}

// step plays all steps that end until a time.
func (e *Engine) step(now time.Duration) {
	for e.stepping && e.stepEnd <= now {
		at := e.stepEnd
		e.stepping = false
		e.finish(at)
		e.begin(at)
	}
}

// begin admits what it can and starts a step, if there is anything to do.
func (e *Engine) begin(at time.Duration) {
	e.expire(at)
	e.admit(at)
	e.grow(at)
	if len(e.running) == 0 {
		return
	}
	e.stepping = true
	e.stepEnd = at + e.schedule()
	e.state.Steps++
}

// expire ends what has passed its deadline.
func (e *Engine) expire(at time.Duration) {
	for _, tasks := range [][]*Task{e.waiting, e.running} {
		for i := len(tasks) - 1; i >= 0; i-- {
			t := tasks[i]
			if t.Request.Deadline == 0 || t.Request.Deadline > at {
				continue
			}
			e.drop(t)
			kind := Expired
			if t.Executed {
				kind = TimedOut
			}
			e.tell(at, kind, t, 0)
		}
	}
}

// admit gives places to those that wait, the most urgent first. One that is more urgent than a running task takes the
// place of that, or its memory.
func (e *Engine) admit(at time.Duration) {
	for len(e.waiting) > 0 {
		t := e.waiting[0]
		if !e.makeRoom(at, t) {
			return
		}
		e.waiting = remove(e.waiting, t)
		e.place(t)
	}
}

// makeRoom preempts less urgent tasks until there is a place and memory for a task, if that can be.
func (e *Engine) makeRoom(at time.Duration, t *Task) bool {
	chain, missing := e.missing(t)
	if e.fits(chain, missing) {
		return true
	}
	if !e.couldFit(t, chain, missing) {
		return false
	}
	for !e.fits(chain, missing) {
		e.preempt(at, e.running[len(e.running)-1])
		chain, missing = e.missing(t)
	}
	return true
}

func (e *Engine) fits(chain *node, missing int) bool {
	return len(e.running) < e.options.MaxRunning && missing <= e.memory.available(chain)
}

// couldFit says whether a task gets in once all running tasks that are less urgent have left.
func (e *Engine) couldFit(t *Task, chain *node, missing int) bool {
	room := e.memory.available(chain)
	slots := e.options.MaxRunning - len(e.running)
	for _, other := range e.running {
		if other.Request.Priority > t.Request.Priority {
			slots++
			room += other.holds.own
		}
	}
	return slots > 0 && missing <= room
}

// missing is the deepest kept part of a task's prompt, and the room that the rest of it takes, with its first tokens.
func (e *Engine) missing(t *Task) (chain *node, room int) {
	chain, found := find(e.memory.root(t.Request.Model), t.Request.Chunks)
	for _, part := range t.Request.Chunks[found:] {
		room += e.memory.blocks(part.Tokens)
	}
	return chain, room + e.memory.blocks(t.GeneratedTokens+1)
}

// place lets a task run.
func (e *Engine) place(t *Task) {
	chain, found := find(e.memory.root(t.Request.Model), t.Request.Chunks)
	_, room := e.missing(t)
	e.memory.pin(chain)
	t.holds.shared = chain
	if !e.memory.take(t, room) {
		panic("engine: a task was placed without memory")
	}
	context := 0
	for _, part := range t.Request.Chunks[:found] {
		context += part.Tokens
	}
	if t.admissions == 0 {
		t.CachedTokens = context
	}
	t.admissions++
	t.Admitted = true
	t.plan = plan{part: found, again: t.GeneratedTokens, context: context, room: e.memory.blocks(t.GeneratedTokens + 1)}
	e.running = insert(e.running, t)
}

// preempt takes a running task's place and memory away; it waits again and is read again.
func (e *Engine) preempt(at time.Duration, t *Task) {
	e.memory.release(t)
	e.running = remove(e.running, t)
	e.waiting = insert(e.waiting, t)
	t.Preemptions++
	e.state.Preemptions++
	e.tell(at, Preempted, t, 0)
}

// grow gives memory to the tasks whose next token needs a block more. If there is none, the newest of the least urgent
// tasks is preempted, be it the one that needs it.
func (e *Engine) grow(at time.Duration) {
	for i := 0; i < len(e.running); i++ {
		t := e.running[i]
		if t.GeneratedTokens < t.plan.room {
			continue
		}
		for !e.memory.take(t, e.memory.block) {
			last := e.running[len(e.running)-1]
			e.preempt(at, last)
			if last == t {
				break
			}
		}
		if i < len(e.running) && e.running[i] == t {
			t.plan.room += e.memory.block
		}
	}
}

// schedule decides what the next step does, and how long that takes.
func (e *Engine) schedule() time.Duration {
	budget := e.options.PrefillTokensPerStep
	context, read := 0, 0
	pairs := 0.0
	for _, t := range e.running {
		context += t.plan.context
		t.plan.now = 0
		t.plan.decodes = !t.reading()
		if t.plan.decodes {
			budget--
		}
	}
	for _, t := range e.running {
		if t.plan.decodes || budget <= 0 {
			continue
		}
		e.skipKept(t)
		t.plan.now = min(budget, t.unread())
		budget -= t.plan.now
		read += t.plan.now
		pairs += float64(t.plan.now) * (float64(t.plan.context) + float64(t.plan.now)/2)
		if e.options.ExclusivePrefill {
			break
		}
	}
	took := e.options.StepTime + time.Duration(len(e.running))*e.options.StepTimePerRequest
	took += time.Duration(float64(context) / kilo * float64(e.options.StepTimePerKilotoken))
	took += time.Duration(float64(read) / e.options.PrefillTokensPerMS * float64(time.Millisecond))
	took += time.Duration(pairs / mega * float64(e.options.StepTimePerMegapair))
	return time.Duration(float64(took) * e.slow)
}

// skipKept passes over parts that another task has read meanwhile.
func (e *Engine) skipKept(t *Task) {
	for t.plan.read == 0 && t.plan.part < len(t.Request.Chunks) {
		part := t.Request.Chunks[t.plan.part]
		kept := t.holds.shared.children[part]
		if kept == nil {
			return
		}
		e.memory.giveBack(t, e.memory.blocks(part.Tokens))
		e.memory.use(t, kept)
		t.plan.part++
		t.plan.context += part.Tokens
	}
}

// unread is how many tokens of the prompt are still to be read.
func (t *Task) unread() int {
	n := t.plan.again - t.plan.read
	for _, part := range t.Request.Chunks[t.plan.part:] {
		n += part.Tokens
	}
	return n
}

// finish ends a step: prompts have been read a piece further, and each task whose prompt is whole has a token more.
func (e *Engine) finish(at time.Duration) {
	e.batch = append(e.batch[:0], e.running...)
	for _, t := range e.batch {
		if t.plan.now > 0 {
			e.readOn(at, t)
		}
		if !t.reading() {
			e.generate(at, t)
		}
	}
}

// readOn counts the prompt tokens that a step has read.
func (e *Engine) readOn(at time.Duration, t *Task) {
	left := t.plan.now
	t.plan.now = 0
	t.plan.context += left
	e.state.PrefilledTokens += int64(left)
	for left > 0 && t.plan.part < len(t.Request.Chunks) {
		part := t.Request.Chunks[t.plan.part]
		n := min(left, part.Tokens-t.plan.read)
		left -= n
		t.plan.read += n
		if t.plan.read < part.Tokens {
			return
		}
		e.memory.publish(t, part)
		e.tell(at, ChunkPrefilled, t, t.plan.part)
		t.plan.part++
		t.plan.read = 0
	}
	t.plan.again -= left
}

// generate gives a task its next token.
func (e *Engine) generate(at time.Duration, t *Task) {
	if !t.Executed {
		t.Executed = true
		e.tell(at, Started, t, 0)
	}
	t.GeneratedTokens++
	t.plan.context++
	if t.GeneratedTokens%e.options.EventTokens == 0 || t.GeneratedTokens >= t.Request.OutputTokens {
		t.EventsSent++
		e.tell(at, Emitted, t, t.EventsSent)
	}
	if t.GeneratedTokens >= t.Request.OutputTokens {
		e.drop(t)
		e.tell(at, Finished, t, 0)
	}
}
