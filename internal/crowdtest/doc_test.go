// Package crowdtest starts the system's own processes and exposes each of their
// listeners to a crowd of untrusted clients. The tests check only properties that do
// not depend on the speed of the machine: the process is alive, its resident memory and
// open descriptors are within the limits of its settings, and an ordinary request is
// answered while the crowd is connected and afterwards. The crowd and the bounds are
// fixed; a change of the product must not change them.
package crowdtest
