// Package fold computes the agreed state from the records on the log. The state
// is a pure function of the records in offset order, so that all readers agree:
// of conflicting records the first valid one takes effect, and a void record
// changes nothing. The package uses neither a clock nor the network, and decides
// nothing but whether a record is valid.
package fold
