// Package fold computes the agreed state from the records on the log. It is a
// pure function of the records in offset order: the first valid record wins,
// and a void one changes nothing for any reader. It reads no clock and no
// network, and it decides nothing beyond validity.
package fold
