package engine

import "slices"

// runsBefore says whether a task goes before another: the more urgent first, then the older.
func runsBefore(a, b *Task) bool {
	if a.Request.Priority != b.Request.Priority {
		return a.Request.Priority < b.Request.Priority
	}
	return a.sequence < b.sequence
}

// insert puts a task in its place among others.
func insert(tasks []*Task, t *Task) []*Task {
	i := len(tasks)
	for i > 0 && runsBefore(t, tasks[i-1]) {
		i--
	}
	return slices.Insert(tasks, i, t)
}

// remove takes a task out, if it is there.
func remove(tasks []*Task, t *Task) []*Task {
	if i := slices.Index(tasks, t); i >= 0 {
		return slices.Delete(tasks, i, i+1)
	}
	return tasks
}
