// Package schedule draws the faults of a soak test: what happens to which process, runner or order, and when.
//
// A schedule follows from its seed and its [Shape] alone, so that a run can be repeated. It consists of series that
// overlap in time: restarts of machines one after the other or together, signals before, during and after a start,
// kills, lost disks, failing and draining runners, changes of the configuration and evacuations.
package schedule
