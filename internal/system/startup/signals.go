package startup

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// StopSignals returns the signals that ask a program to shut down gracefully.
func StopSignals() []os.Signal { return []os.Signal{syscall.SIGTERM, syscall.SIGINT} }

// StopContext returns a context that ends when the program is asked to stop, and the function that releases it.
func StopContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), StopSignals()...)
}

// NotifyReload returns a channel that receives each SIGHUP, by which the platform says that the settings file has
// changed. Signals that arrive while one is pending are dropped. Before the call the signal ends the process.
func NotifyReload() <-chan os.Signal {
	changes := make(chan os.Signal, 1)
	signal.Notify(changes, syscall.SIGHUP)
	return changes
}
