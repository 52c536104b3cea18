// Package intake appends the records of callers to the store. Records that
// arrive while an append is in flight go together with the next one, so that the
// number of appends does not grow with the number of callers when the store is
// slow. When the store does not answer at all, records that were not sent yet are
// refused at once. The package decides nothing about what is in the records.
package intake
