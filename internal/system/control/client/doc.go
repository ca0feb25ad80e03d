// Package client calls the operator's API of the control machines, in the way that the API expects of its callers: it
// follows redirects, tries another machine after a failure, and repeats a call whose outcome is unknown unchanged, which
// the API commits once.
//
// A call ends with a definite response, with a *RejectedError, or with an *UnavailableError once its time is over. After
// an *UnavailableError a change may be in force; callers send the same one again.
package client
