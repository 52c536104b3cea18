package fold

import "github.com/berylspar/spar/wire"

// Fence is the agreed end of an agent's session. An entry that has read it renews
// no lease of the session.
type Fence struct {
	session string
	worker  string
	reason  string
	lapsed  bool
}

// Session returns the fenced session.
func (f Fence) Session() string { return f.session }

// Worker returns the worker whose agent holds the session.
func (f Fence) Worker() string { return f.worker }

// IsLapsed reports whether the waiting time of the fence has passed, so that no
// lease of the session can still be valid.
func (f Fence) IsLapsed() bool { return f.lapsed }

// Member is an entry that registered on the log.
type Member struct {
	entry      string
	address    string
	departed   bool
	expelled   bool
	registered int64
}

// Entry returns the session of the entry.
func (m Member) Entry() string { return m.entry }

// Address returns the control address of the entry, as host and port.
func (m Member) Address() string { return m.address }

// IsLive reports whether the entry has neither departed nor been expelled.
func (m Member) IsLive() bool { return !m.departed && !m.expelled }

// IsExpelled reports whether the entry's expulsion was folded.
func (m Member) IsExpelled() bool { return m.expelled }

// Registered returns the offset of the registration.
func (m Member) Registered() int64 { return m.registered }

// Once is a request that may run at most once.
type Once struct {
	key       string
	id        []byte
	settled   bool
	status    int32
	body      []byte
	truncated bool
}

// ID returns the id of the record that holds the key.
func (o Once) ID() []byte { return o.id }

// IsSettled reports whether the outcome of the request is known.
func (o Once) IsSettled() bool { return o.settled }

// Status returns the HTTP status of the outcome.
func (o Once) Status() int { return int(o.status) }

// Body returns the body of the answer, which is empty when IsTruncated.
func (o Once) Body() []byte { return o.body }

// IsTruncated reports whether the body of the answer was too long to be stored.
func (o Once) IsTruncated() bool { return o.truncated }

// Config is the agreed configuration. The zero value is revision 0, empty.
type Config struct {
	revision int64
	body     []byte
	author   string
	id       []byte
}

// Revision returns the number of configurations accepted so far.
func (c Config) Revision() int64 { return c.revision }

// Body returns the configuration as JSON.
func (c Config) Body() []byte { return c.body }

// Author returns who published the configuration.
func (c Config) Author() string { return c.author }

// ID returns the id of the record that set the configuration.
func (c Config) ID() []byte { return c.id }

func (f Fence) fact() *wire.FenceFact {
	return &wire.FenceFact{Session: f.session, Worker: f.worker, Reason: f.reason, Lapsed: f.lapsed}
}

func (m Member) fact() *wire.MemberFact {
	return &wire.MemberFact{Entry: m.entry, Address: m.address, Departed: m.departed, Expelled: m.expelled, Registered: m.registered}
}

func (o Once) fact() *wire.OnceFact {
	return &wire.OnceFact{Key: o.key, Id: o.id, Settled: o.settled, Status: o.status, Body: o.body, Truncated: o.truncated}
}

func (c Config) fact() *wire.ConfigFact {
	return &wire.ConfigFact{Revision: c.revision, Body: c.body, Author: c.author, Id: c.id}
}

func fenceOf(f *wire.FenceFact) *Fence {
	return &Fence{session: f.GetSession(), worker: f.GetWorker(), reason: f.GetReason(), lapsed: f.GetLapsed()}
}

func memberOf(f *wire.MemberFact) *Member {
	return &Member{entry: f.GetEntry(), address: f.GetAddress(), departed: f.GetDeparted(), expelled: f.GetExpelled(), registered: f.GetRegistered()}
}

func onceOf(f *wire.OnceFact) *Once {
	return &Once{key: f.GetKey(), id: f.GetId(), settled: f.GetSettled(), status: f.GetStatus(), body: f.GetBody(), truncated: f.GetTruncated()}
}

func configOf(f *wire.ConfigFact) Config {
	return Config{revision: f.GetRevision(), body: f.GetBody(), author: f.GetAuthor(), id: f.GetId()}
}
