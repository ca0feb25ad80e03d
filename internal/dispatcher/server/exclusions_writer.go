package server

import (
	"encoding/json"
	"fmt"
	"os"

	"cinderroad/internal/dispatcher/dispatch"
)

// exclusionsWriter carries out orders about exclusions: it writes the file of exclusions on a goroutine, since a disk may
// stall, and has the dispatcher apply them once they are written. One write is in progress at most; orders that come meanwhile
// share the next. Its methods run on the event loop.
type exclusionsWriter struct {
	server  *Server
	orders  []pendingOrder // not carried out yet
	writing int            // of orders, from the first on: those that the write in progress covers; 0: there is none
}

// pendingOrder is an order that waits for the disk.
type pendingOrder struct {
	operatorOrder
	done func(error) // called once, on the event loop
}

// add queues an order.
func (w *exclusionsWriter) add(order operatorOrder, done func(error)) {
	w.orders = append(w.orders, pendingOrder{order, done})
	if w.writing == 0 {
		w.startWrite()
	}
}

// startWrite writes the exclusions as all orders that wait leave them.
func (w *exclusionsWriter) startWrite() {
	w.writing = len(w.orders)
	exclusions := w.exclusionsWith(w.orders)
	path := w.server.config.tempPath(".exclusions")
	go func() {
		err := writeExclusions(path, exclusions)
		w.server.loop.Post(func() { w.finishWrite(err) })
	}()
}

// exclusionsWith returns the exclusions in force, changed by orders.
func (w *exclusionsWriter) exclusionsWith(orders []pendingOrder) map[string]dispatch.Exclusion {
	exclusions := w.server.dispatcher.Exclusions()
	for _, order := range orders {
		if order.Exclusion != (dispatch.Exclusion{}) { // else it was not excluded, and there is nothing to include again
			exclusions[order.Member] = order.Exclusion
		}
	}
	return exclusions
}

// finishWrite applies the orders that were written, or drops them after an error.
func (w *exclusionsWriter) finishWrite(err error) {
	finished := w.orders[:w.writing]
	w.orders = w.orders[w.writing:]
	w.writing = 0
	if err == nil {
		w.server.dispatcher.ApplyExclusions(w.exclusionsWith(finished))
	}
	for _, order := range finished {
		order.done(err)
	}
	if len(w.orders) > 0 && w.writing == 0 {
		w.startWrite()
	}
}

// writeExclusions replaces the file of exclusions atomically. Without a path they last as long as the process. The file that it
// writes first is this process's own: during an upgrade the other one may write as well.
func writeExclusions(path string, exclusions map[string]dispatch.Exclusion) error {
	if path == "" {
		return nil
	}
	text, err := json.Marshal(savedExclusions{exclusionsVersion, exclusions})
	if err != nil {
		return fmt.Errorf("exclusions: %w", err)
	}
	fresh := newExclusionsPath(path, os.Getpid())
	if err := os.WriteFile(fresh, text, 0o600); err != nil {
		return fmt.Errorf("exclusions: %w", err)
	}
	if err := os.Rename(fresh, path); err != nil {
		return fmt.Errorf("exclusions: %w", err)
	}
	return nil
}

// newExclusionsPath is the path at which a process writes the file of exclusions before it replaces that of path.
func newExclusionsPath(path string, pid int) string { return fmt.Sprintf("%s.%d.new", path, pid) }
