// Package emulator runs a deployment of the system on one machine and checks what it does.
//
// The system's programs run as processes on loopback, each machine at an address of its own. Fakes within the emulator's
// process stand in for the runners, the platform's list of runners, the operator and the clients. [Run] starts a
// deployment, serves the traffic of a policysim scenario while faults are injected, and returns a [Report]: what clients
// and runners saw, and the rules of package checker that were broken.
//
// Bounds in time may be exceeded on a busy machine without a fault of the system. Rules on which requests run, where and
// how often do not depend on the machine's speed.
package emulator
