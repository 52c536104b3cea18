package common

import "go.uber.org/dig"

// Build provides constructors and invokes run with what they make. An error is
// that of the constructor that failed, or of run.
func Build(run any, constructors ...any) error {
	c := dig.New()
	for _, p := range constructors {
		if err := c.Provide(p); err != nil {
			return err
		}
	}
	return dig.RootCause(c.Invoke(run))
}
