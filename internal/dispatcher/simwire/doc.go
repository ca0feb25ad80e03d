// Package simwire lets a simulator drive load balancers over a byte stream: it turns the simulator's frames into
// events of package loadbalancer, and the actions of the balancers into frames.
//
// A frame is a batch of event records at one time; each is answered by one frame of action records. All numbers are
// little endian. A record begins with its code; an instance record says which balancer the records after it are
// about. One stream may drive any number of instances. Reader reads frames, Host keeps the instances and answers.
//
// A malformed frame is a FrameError, after which the stream must be given up. What is wrong with one instance
// (invalid settings, a panic) is reported to the simulator as a fault of that instance, which then stays silent. The
// package is not safe for concurrent use.
package simwire
