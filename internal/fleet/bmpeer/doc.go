// Package bmpeer carries the calls between the nodes of one fleet over gRPC.
//
// Invariants: a server serves no call whose metadata lacks the fleet secret;
// messages are bounded in size; plain text is used on loopback addresses only.
// A client dials the IP address and port that it was given: no resolver or
// balancer takes part. A call that gets no byte within its bound on an open
// connection closes that connection and is made once more on a new one,
// because connections can stop responding while new ones work.
package bmpeer
