package fold

// ConfigFact is the key of the one configuration fact.
const ConfigFact = "c"

// JobFact is the key of a job's fact.
func JobFact(job string) string { return "j/" + job }

// FenceFact is the key of the fact of a fenced session.
func FenceFact(session string) string { return "f/" + session }

// MemberFact is the key of an entry's fact.
func MemberFact(entry string) string { return "m/" + entry }

// OnceFact is the key of a request's fact.
func OnceFact(key string) string { return "o/" + key }

// mark tells where on the log a fact was named.
type mark struct {
	// mentioned is the offset of the newest record that names the fact, valid
	// or void, other than a Carry. A reader that never knew the fact has it
	// too, so all readers agree on which Carry is stale.
	mentioned int64
	// kept is the offset of the newest record from which the whole fact can
	// be known: its first one, or a valid Carry.
	kept int64
}
