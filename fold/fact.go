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
