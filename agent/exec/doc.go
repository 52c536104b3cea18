// Package exec executes the owner's orders on the worker of the local machine.
// It starts, stops and paces runs, extends the worker's lease as far as the
// owner grants it, and reports running and ended runs. It makes no scheduling
// decisions.
package exec
