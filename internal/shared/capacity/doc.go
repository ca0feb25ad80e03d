// Package capacity is the core of the design that the dispatcher's decisions (package brain) and the system's (package
// placement) share: two ceilings for each worker learnt from outcomes, spare room below them, the pick of the worker
// with most room, and how a worker whose attempts fail is set aside. It is pure: no I/O, no clock; times are seconds.
package capacity
