// Package emulator runs a deployment of the system on one machine and checks what it does.
//
// The system's programs run as processes on loopback, each machine at an address of its own. Fakes within the emulator's
// process stand in for the runners, the platform's list of runners, the operator and the clients. [Run] starts a
// deployment, serves the traffic of a policysim scenario while faults are injected, and returns a [Report]: what clients
// and runners saw, and the rules of package checker that were broken.
//
// A [Storm] is a schedule of faults that overlap in time, drawn from a seed by package schedule. Checks that need more than
// the traffic of clients run beside it: reads of the configuration, calls of added routes and replicated counters.
//
// Rules on which requests run, where and how often do not depend on the speed of the machine that the emulation runs on. Those
// with a bound in time hold only for emulated machines that had enough of the processor and were otherwise left alone.
package emulator
