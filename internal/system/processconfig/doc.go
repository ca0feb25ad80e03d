// Package processconfig reads the settings file that the platform hands to each process of the system: who the process
// is, where it listens, what it may use, and the bounds of the deployment.
//
// The file is JSON, and the environment variable named by [PathVariable] holds its path. Unknown fields are ignored, and
// fields that are absent have defaults, so that processes and platforms of different versions work together. All
// problems of a file are reported together, in a *validation.Error.
package processconfig
