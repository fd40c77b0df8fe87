// Package bmpeer implements the gRPC clients and servers for the calls between
// the nodes of one fleet.
//
// Invariants: a server rejects every call whose metadata lacks the fleet secret;
// messages are bounded in size; plain text is used on loopback addresses only.
// A client dials exactly the IP address and port that it is given, without a
// resolver or load balancer. If a unary call receives no byte on an open
// connection before its timeout, the connection is closed and the call is retried
// once on a new one, because an open connection can stop responding while new
// ones work.
package bmpeer
