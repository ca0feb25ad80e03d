package startup

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// maxPendingStops is how many stop signals may wait in the channel of NotifyStop.
const maxPendingStops = 2

// stopSignals returns the signals that ask a program to shut down gracefully.
func stopSignals() []os.Signal { return []os.Signal{syscall.SIGTERM, syscall.SIGINT} }

// StopContext returns a context that ends when the program is asked to stop, and the function that releases it.
func StopContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), stopSignals()...)
}

// NotifyStop returns a channel that receives each signal to stop. It is for programs that stop without a context.
func NotifyStop() <-chan os.Signal {
	stops := make(chan os.Signal, maxPendingStops)
	signal.Notify(stops, stopSignals()...)
	return stops
}

// NotifyReload returns a channel that receives each SIGHUP, by which the platform says that the settings file has
// changed. Signals that arrive while one is pending are dropped. Before the call the signal ends the process.
func NotifyReload() <-chan os.Signal {
	changes := make(chan os.Signal, 1)
	signal.Notify(changes, syscall.SIGHUP)
	return changes
}

// IgnoreReload has the program ignore SIGHUP, for those that do not reload their settings. Before the call the signal
// ends the process.
func IgnoreReload() { signal.Ignore(syscall.SIGHUP) }
