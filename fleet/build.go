package fleet

import (
	"slices"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/conf"
)

// Size returns a size given in whole processors, gibibytes of memory and
// accelerators.
func Size(processors, gibibytes, accelerators int64) spar.Size {
	return spar.Size{CPUMilli: processors * 1000, MemoryMB: gibibytes * 1024, Accelerators: accelerators}
}

// Print returns the configuration as JSON, with empty lists instead of null. It
// returns an error if the configuration is invalid.
func (c Configuration) Print() ([]byte, error) {
	c.Domains = orEmpty(c.Domains)
	c.Services = orEmpty(c.Services)
	c.Teams = orEmpty(c.Teams)
	c.Kinds = orEmpty(c.Kinds)
	for i := range c.Services {
		c.Services[i].Domains = orEmpty(c.Services[i].Domains)
	}
	for i := range c.Kinds {
		c.Kinds[i].Domains = orEmpty(c.Kinds[i].Domains)
	}
	out := conf.Format(c)
	_, err := Parse(out)
	return out, err
}

func orEmpty[T any](s []T) []T {
	if s == nil {
		return []T{}
	}
	return s
}

// WithClosed returns a copy of the configuration with a domain closed or opened,
// and whether the domain is known.
func (c Configuration) WithClosed(domain string, closed bool) (Configuration, bool) {
	c.Domains = slices.Clone(c.Domains)
	for i := range c.Domains {
		if c.Domains[i].Name == domain {
			c.Domains[i].Closed = closed
			return c, true
		}
	}
	return c, false
}

// Domain returns a domain by name.
func (c *Configuration) Domain(name string) (Domain, bool) {
	return find(c.Domains, func(d Domain) bool { return d.Name == name })
}

// Service returns a service by name.
func (c *Configuration) Service(name string) (Service, bool) {
	return find(c.Services, func(s Service) bool { return s.Name == name })
}

// Team returns a team by name.
func (c *Configuration) Team(name string) (Team, bool) {
	return find(c.Teams, func(t Team) bool { return t.Name == name })
}

// Kind returns a kind of batch job by name.
func (c *Configuration) Kind(name string) (Kind, bool) {
	return find(c.Kinds, func(k Kind) bool { return k.Name == name })
}

// IsOpen reports whether a domain is known and not closed.
func (c *Configuration) IsOpen(domain string) bool {
	d, ok := c.Domain(domain)
	return ok && !d.Closed
}

// Allows reports whether a list of domains contains a domain. An empty list allows
// all.
func Allows(domains []string, domain string) bool {
	return len(domains) == 0 || slices.Contains(domains, domain)
}

func find[T any](all []T, matches func(T) bool) (T, bool) {
	i := slices.IndexFunc(all, matches)
	if i < 0 {
		var zero T
		return zero, false
	}
	return all[i], true
}
