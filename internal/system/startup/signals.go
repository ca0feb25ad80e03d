package startup

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// StopSignals are the signals that ask a program to stop in an orderly way.
func StopSignals() []os.Signal { return []os.Signal{syscall.SIGTERM, syscall.SIGINT} }

// StopContext is a context that ends when the program is asked to stop. The function it comes with frees it.
func StopContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), StopSignals()...)
}

// NotifyReload tells of each SIGHUP, by which the platform says that the settings file has changed; of several before
// the first is taken it keeps one. Until it is called the signal ends the process.
func NotifyReload() <-chan os.Signal {
	changes := make(chan os.Signal, 1)
	signal.Notify(changes, syscall.SIGHUP)
	return changes
}
