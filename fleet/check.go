package fleet

import (
	"github.com/berylspar/spar/conf"
	"github.com/cockroachdb/errors"
)

// Parse decodes and validates a configuration. The error names the invalid field.
func Parse(data []byte) (Configuration, error) {
	c, err := conf.Decode(data, Configuration{})
	if err != nil {
		return Configuration{}, err
	}
	return c, c.Check()
}

// Schema returns the JSON schema of a configuration, for programs in other
// languages.
func Schema() []byte { return conf.Schema[Configuration]("berylspar configuration") }

// Check validates constraints across fields: names must be unique, and references
// must name a known domain or team.
func (c Configuration) Check() error {
	domains, err := uniqueNames("domains", c.Domains, func(d Domain) string { return d.Name })
	if err != nil {
		return err
	}
	teams, err := uniqueNames("teams", c.Teams, func(t Team) string { return t.Name })
	if err != nil {
		return err
	}
	if _, err := uniqueNames("services", c.Services, func(s Service) string { return s.Name }); err != nil {
		return err
	}
	if _, err := uniqueNames("kinds", c.Kinds, func(k Kind) string { return k.Name }); err != nil {
		return err
	}
	for i, s := range c.Services {
		if err := checkDomains(domains, s.Domains, "services", i); err != nil {
			return err
		}
	}
	for i, k := range c.Kinds {
		if !teams[k.Team] {
			return errors.Mark(errors.Newf("kinds.%d.team: %q is not one of the teams", i, k.Team), conf.ErrInvalid)
		}
		if err := checkDomains(domains, k.Domains, "kinds", i); err != nil {
			return err
		}
	}
	return nil
}

// uniqueNames returns the names of a list, or an error for a duplicate.
func uniqueNames[T any](field string, all []T, name func(T) string) (map[string]bool, error) {
	seen := map[string]bool{}
	for i, v := range all {
		if seen[name(v)] {
			return nil, errors.Mark(errors.Newf("%s.%d.name: %q stands twice", field, i, name(v)), conf.ErrInvalid)
		}
		seen[name(v)] = true
	}
	return seen, nil
}

// checkDomains returns an error if the domains used by an item are not all known.
func checkDomains(domains map[string]bool, used []string, field string, index int) error {
	for i, d := range used {
		if !domains[d] {
			return errors.Mark(errors.Newf("%s.%d.domains.%d: %q is not one of the domains", field, index, i, d), conf.ErrInvalid)
		}
	}
	return nil
}

// CheckBody validates a configuration in JSON. Package fold applies it to the
// configurations on the log.
func CheckBody(body []byte) error {
	_, err := Parse(body)
	return err
}
