package engine

import "slices"

// runsBefore orders tasks: the higher priority first, then the older.
func runsBefore(a, b *Task) bool {
	if a.Request.Priority != b.Request.Priority {
		return a.Request.Priority < b.Request.Priority
	}
	return a.sequence < b.sequence
}

// insert adds a task in order.
func insert(tasks []*Task, t *Task) []*Task {
	i := len(tasks)
	for i > 0 && runsBefore(t, tasks[i-1]) {
		i--
	}
	return slices.Insert(tasks, i, t)
}

// remove removes a task, if it is in the list.
func remove(tasks []*Task, t *Task) []*Task {
	if i := slices.Index(tasks, t); i >= 0 {
		return slices.Delete(tasks, i, i+1)
	}
	return tasks
}
