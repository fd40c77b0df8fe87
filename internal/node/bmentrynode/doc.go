// Package bmentrynode assembles the process of an entry host on a platform:
// its listeners, its view of the platform, the scheduler and the request path,
// supervised by suture, and its stop sequence.
package bmentrynode
