package fold

// ConfigFact is the key of the configuration's fact, of which there is only one.
const ConfigFact = "c"

// JobFact returns the key of a job's fact.
func JobFact(job string) string { return "j/" + job }

// FenceFact returns the key of the fact of a fenced session.
func FenceFact(session string) string { return "f/" + session }

// MemberFact returns the key of the fact of an entry's registration.
func MemberFact(entry string) string { return "m/" + entry }

// OnceFact returns the key of the fact of a request that runs at most once.
func OnceFact(key string) string { return "o/" + key }
