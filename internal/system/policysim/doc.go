// Package policysim compares placement policies in virtual time.
//
// Several proxies, each with a policy of its own, send generated traffic to the same simulated runners. [Run] plays one
// [Scenario] with one policy; a run depends on nothing but the scenario, the policy and the seed. Every policy sees the
// same traffic for the same seed, so that differences between their results are due to the policies. [Mean] joins the
// results of several seeds and [Print] writes them as tables.
//
// The value of a call is what its client gains by it: all of it if it is in time, a part if it is late, none if it was
// rejected or has failed. [Result.ValueShare] is the measure by which policies are compared.
package policysim
