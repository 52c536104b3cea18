// Package triage decides in which order jobs get room when there is too little
// for all, so that what is delayed costs callers least. It takes values and
// returns an order; it places nothing and reads no clock.
package triage
