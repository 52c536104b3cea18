package common

import "go.uber.org/dig"

// Build registers the constructors for dependency injection and calls run with the
// values that it takes. The error is that of the failed constructor or of run.
func Build(run any, constructors ...any) error {
	c := dig.New()
	for _, constructor := range constructors {
		if err := c.Provide(constructor); err != nil {
			return err
		}
	}
	return dig.RootCause(c.Invoke(run))
}
