package engine

import "time"

// taskProgress is the progress of a running task.
type taskProgress struct {
	nextChunk       int  // index of the prompt chunk being prefilled
	chunkTokensRead int  // of that chunk
	tokensToReread  int  // generated before a preemption, to be prefilled again
	contextTokens   int  // tokens in the KV cache
	generationRoom  int  // tokens that the reserved memory has room for in all
	stepPrefill     int  // prompt tokens of the current step
	decoding        bool // its prompt was complete when the step began
}

// prefilling reports whether the prompt is incomplete.
func (t *Task) prefilling() bool {
	return t.progress.nextChunk < len(t.Request.Chunks) || t.progress.tokensToReread > 0
}

// runSteps ends all steps that are due.
func (e *Engine) runSteps(now time.Duration) {
	for e.stepping && e.stepEnd <= now {
		at := e.stepEnd
		e.stepping = false
		e.finishStep(at)
		e.beginStep(at)
	}
}

// beginStep admits tasks and starts a step, if there is anything to do.
func (e *Engine) beginStep(at time.Duration) {
	e.expireTasks(at)
	e.admitTasks(at)
	e.growMemory(at)
	if len(e.running) == 0 {
		return
	}
	e.stepping = true
	e.stepEnd = at + e.planStep()
	e.state.Steps++
}

// expireTasks ends the tasks whose deadline has passed.
func (e *Engine) expireTasks(at time.Duration) {
	for _, tasks := range [][]*Task{e.waiting, e.running} {
		for i := len(tasks) - 1; i >= 0; i-- {
			t := tasks[i]
			if t.Request.Deadline == 0 || t.Request.Deadline > at {
				continue
			}
			e.removeTask(t)
			kind := Expired
			if t.Executed {
				kind = TimedOut
			}
			e.events.add(at, kind, t, 0)
		}
	}
}

// admitTasks gives slots to queued tasks in order of priority. A task may preempt running ones with a lower priority
// for their slot or memory.
func (e *Engine) admitTasks(at time.Duration) {
	for len(e.waiting) > 0 {
		t := e.waiting[0]
		if !e.preemptFor(at, t) {
			return
		}
		e.waiting = remove(e.waiting, t)
		e.startTask(t)
	}
}

// preemptFor preempts lower-priority tasks until the task has a slot and memory; false, and none is preempted, if
// that can't succeed.
func (e *Engine) preemptFor(at time.Duration, t *Task) bool {
	chain, missing := e.missingMemory(t)
	if e.fits(chain, missing) {
		return true
	}
	if !e.fitsAfterPreemption(t, chain, missing) {
		return false
	}
	for !e.fits(chain, missing) {
		e.preempt(at, e.running[len(e.running)-1])
		chain, missing = e.missingMemory(t)
	}
	return true
}

func (e *Engine) fits(chain *cacheNode, missing int) bool {
	return len(e.running) < e.options.MaxRunning && missing <= e.memory.available(chain)
}

// fitsAfterPreemption reports whether the task fits once all running tasks with a lower priority are preempted.
func (e *Engine) fitsAfterPreemption(t *Task, chain *cacheNode, missing int) bool {
	room := e.memory.available(chain)
	slots := e.options.MaxRunning - len(e.running)
	for _, other := range e.running {
		if other.Request.Priority > t.Request.Priority {
			slots++
			room += other.memory.ownTokens
		}
	}
	return slots > 0 && missing <= room
}

// missingMemory returns the deepest cached chunk of a task's prompt, and the memory for the rest of it and its next
// token.
func (e *Engine) missingMemory(t *Task) (chain *cacheNode, room int) {
	chain, found := longestPrefix(e.memory.root(t.Request.Model), t.Request.Chunks)
	for _, chunk := range t.Request.Chunks[found:] {
		room += e.memory.roundUp(chunk.Tokens)
	}
	return chain, room + e.memory.roundUp(t.GeneratedTokens+1)
}

// startTask moves a task into the batch; the memory must be available.
func (e *Engine) startTask(t *Task) {
	chain, found := longestPrefix(e.memory.root(t.Request.Model), t.Request.Chunks)
	_, room := e.missingMemory(t)
	e.memory.pin(chain)
	t.memory.cachedPrefix = chain
	if !e.memory.reserve(t, room) {
		panic("engine: a task was placed without memory")
	}
	context := 0
	for _, chunk := range t.Request.Chunks[:found] {
		context += chunk.Tokens
	}
	if t.admissions == 0 {
		t.CachedTokens = context
	}
	t.admissions++
	t.Admitted = true
	t.progress = taskProgress{
		nextChunk:      found,
		tokensToReread: t.GeneratedTokens,
		contextTokens:  context,
		generationRoom: e.memory.roundUp(t.GeneratedTokens + 1),
	}
	e.running = insert(e.running, t)
}

// preempt takes a running task's slot and memory; it is queued again and its tokens are prefilled again.
func (e *Engine) preempt(at time.Duration, t *Task) {
	e.memory.release(t)
	e.running = remove(e.running, t)
	e.waiting = insert(e.waiting, t)
	t.Preemptions++
	e.state.Preemptions++
	e.events.add(at, Preempted, t, 0)
}

// growMemory reserves a further block for tasks whose next token needs it. Without memory, the newest task of the
// lowest priority is preempted, which may be the task itself.
func (e *Engine) growMemory(at time.Duration) {
	for i := 0; i < len(e.running); i++ {
		t := e.running[i]
		if t.GeneratedTokens < t.progress.generationRoom {
			continue
		}
		for !e.memory.reserve(t, e.memory.blockTokens) {
			last := e.running[len(e.running)-1]
			e.preempt(at, last)
			if last == t {
				break
			}
		}
		if i < len(e.running) && e.running[i] == t {
			t.progress.generationRoom += e.memory.blockTokens
		}
	}
}

// planStep divides the prefill budget among the batch, decoding tasks first, and returns the step's duration.
func (e *Engine) planStep() time.Duration {
	budget := e.options.PrefillTokensPerStep
	context := 0 // tokens in the KV cache, of all tasks
	read := 0    // prompt tokens in this step
	pairs := 0.0 // of a token that is read and one before it
	for _, t := range e.running {
		context += t.progress.contextTokens
		t.progress.stepPrefill = 0
		t.progress.decoding = !t.prefilling()
		if t.progress.decoding {
			budget--
		}
	}
	for _, t := range e.running {
		if t.progress.decoding || budget <= 0 {
			continue
		}
		e.skipCached(t)
		t.progress.stepPrefill = min(budget, t.unreadTokens())
		budget -= t.progress.stepPrefill
		read += t.progress.stepPrefill
		pairs += float64(t.progress.stepPrefill) * (float64(t.progress.contextTokens) + float64(t.progress.stepPrefill)/2)
		if e.options.ExclusivePrefill {
			break
		}
	}
	took := e.options.StepTime + time.Duration(len(e.running))*e.options.StepTimePerRequest
	took += time.Duration(float64(context) / tokensPerKilotoken * float64(e.options.StepTimePerKilotoken))
	took += time.Duration(float64(read) / e.options.PrefillTokensPerMS * float64(time.Millisecond))
	took += time.Duration(pairs / pairsPerMegapair * float64(e.options.StepTimePerMegapair))
	return time.Duration(float64(took) * e.slowdown)
}

// skipCached skips chunks that another task has prefilled since the admission.
func (e *Engine) skipCached(t *Task) {
	for t.progress.chunkTokensRead == 0 && t.progress.nextChunk < len(t.Request.Chunks) {
		chunk := t.Request.Chunks[t.progress.nextChunk]
		node := t.memory.cachedPrefix.children[chunk]
		if node == nil {
			return
		}
		e.memory.free(t, e.memory.roundUp(chunk.Tokens))
		e.memory.attach(t, node)
		t.progress.nextChunk++
		t.progress.contextTokens += chunk.Tokens
	}
}

// unreadTokens returns the tokens still to be prefilled.
func (t *Task) unreadTokens() int {
	n := t.progress.tokensToReread - t.progress.chunkTokensRead
	for _, chunk := range t.Request.Chunks[t.progress.nextChunk:] {
		n += chunk.Tokens
	}
	return n
}

// finishStep ends a step: it advances the prefill, and generates a token for each task whose prompt is complete.
func (e *Engine) finishStep(at time.Duration) {
	e.batch = append(e.batch[:0], e.running...)
	for _, t := range e.batch {
		if t.progress.stepPrefill > 0 {
			e.advancePrefill(at, t)
		}
		if !t.prefilling() {
			e.generateToken(at, t)
		}
	}
}

// advancePrefill counts the prompt tokens of a step.
func (e *Engine) advancePrefill(at time.Duration, t *Task) {
	left := t.progress.stepPrefill
	t.progress.stepPrefill = 0
	t.progress.contextTokens += left
	e.state.PrefilledTokens += int64(left)
	for left > 0 && t.progress.nextChunk < len(t.Request.Chunks) {
		chunk := t.Request.Chunks[t.progress.nextChunk]
		n := min(left, chunk.Tokens-t.progress.chunkTokensRead)
		left -= n
		t.progress.chunkTokensRead += n
		if t.progress.chunkTokensRead < chunk.Tokens {
			return
		}
		e.memory.publish(t, chunk)
		e.events.add(at, ChunkPrefilled, t, t.progress.nextChunk)
		t.progress.nextChunk++
		t.progress.chunkTokensRead = 0
	}
	t.progress.tokensToReread -= left
}

// generateToken generates a task's next token.
func (e *Engine) generateToken(at time.Duration, t *Task) {
	if !t.Executed {
		t.Executed = true
		e.events.add(at, Started, t, 0)
	}
	t.GeneratedTokens++
	t.progress.contextTokens++
	if t.GeneratedTokens%e.options.EventTokens == 0 || t.GeneratedTokens >= t.Request.OutputTokens {
		t.EventsSent++
		e.events.add(at, Emitted, t, t.EventsSent)
	}
	if t.GeneratedTokens >= t.Request.OutputTokens {
		e.removeTask(t)
		e.events.add(at, Finished, t, 0)
	}
}
