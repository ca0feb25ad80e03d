// Package admin serves the dispatcher's second address, at which operators query and control it: one HTTP call for each
// connection, answered with 2xx, or with 4xx or 5xx and a reason.
//
// The calls run on the event loop that serves the clients, since they change what its goroutine owns: an answer is true
// when it is written. The listener's connections count against no limit of the clients' and are handled first in each
// iteration of the loop, so that operators get through when the dispatcher is overloaded.
package admin
