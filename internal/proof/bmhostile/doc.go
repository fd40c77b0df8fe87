// Package bmhostile holds the tests of the built programs against clients that keep to no
// limits. Each test starts a program with low limits, lets a fixed number of
// connections send one kind of input, and then checks that the program runs, that its memory and its
// descriptors are within its settings, and that it answers an ordinary request while the
// connections are still open.
//
// No check depends on the speed of the machine. The tests of this package run one at a
// time and apart from other packages, so that the memory of a program is its own.
package bmhostile
