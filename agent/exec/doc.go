// Package exec carries out the owner's orders on the worker of its own
// machine: it starts, stops and paces runs, extends the worker's lease as far
// as the owner grants, and reports what runs and what has ended. It plans
// nothing.
package exec
