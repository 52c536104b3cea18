// Package peers synchronizes an entry with the other entries: it registers the
// entry on the log, queries the others at an interval, and announces its
// departure.
package peers

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/berylspar/spar/common"
	"github.com/berylspar/spar/entry/agents"
	"github.com/berylspar/spar/fold"
	"github.com/berylspar/spar/lease"
	"github.com/berylspar/spar/member"
	"github.com/berylspar/spar/tail"
	"github.com/berylspar/spar/wire"
	"github.com/cockroachdb/errors"
)

// syncsPerFreshTime is the number of syncs with each peer within the time for
// which an answer counts as fresh.
const syncsPerFreshTime = 3

// Peers synchronizes with the other entries.
type Peers struct {
	common.Common
	name    string
	address string
	terms   lease.Terms
	tail    *tail.Tail
	view    *member.View
	table   *agents.Table
	http    *http.Client

	mu       sync.Mutex
	links    map[string]*link
	linkEnds []<-chan error
	parent   context.Context
}

// link is the connection to one other entry. Its version is that of the last
// digest received.
type link struct {
	entry   string
	address string
	client  wire.EntryClient
	version int64
	cancel  context.CancelFunc
}

// NewPeers returns the peers of an entry. The name is that of its session, address
// its control address, and h the client for calls to other entries.
func NewPeers(c common.Common, name, address string, t lease.Terms, l *tail.Tail, v *member.View, a *agents.Table, h *http.Client) *Peers {
	return &Peers{Common: c, name: name, address: address, terms: t, tail: l, view: v, table: a, http: h, links: map[string]*link{}}
}

// Register appends the registration of this entry to the log.
func (p *Peers) Register(ctx context.Context) error {
	_, err := p.tail.Append(ctx, &wire.Record{By: p.name, Body: &wire.Record_Register{
		Register: &wire.Register{Entry: p.name, Address: p.address},
	}})
	return errors.Wrap(err, "register")
}

// Run keeps the links in step with the members of the folded state until the
// context ends.
func (p *Peers) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	p.parent = ctx
	go func() {
		tick := time.NewTicker(p.syncInterval())
		defer tick.Stop()
		for ctx.Err() == nil {
			p.updateLinks()
			select {
			case <-ctx.Done():
			case <-tick.C:
			}
		}
		for _, e := range p.linkEnds {
			<-e
		}
		done <- nil
	}()
	return done
}

func (p *Peers) syncInterval() time.Duration { return p.terms.Fresh() / syncsPerFreshTime }

// updateLinks opens links to new live members and closes those to members that
// are no longer live.
func (p *Peers) updateLinks() {
	var live []fold.Member
	p.tail.View(func(f *fold.State) {
		for _, m := range f.Members() {
			if m.IsLive() && m.Entry() != p.name {
				live = append(live, m)
			}
		}
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	named := map[string]bool{}
	for _, m := range live {
		named[m.Entry()] = true
		if p.links[m.Entry()] == nil {
			p.openLink(m)
		}
	}
	for e, k := range p.links {
		if !named[e] {
			k.cancel()
			delete(p.links, e)
		}
	}
}

func (p *Peers) openLink(m fold.Member) {
	ctx, cancel := context.WithCancel(p.parent)
	k := &link{entry: m.Entry(), address: m.Address(), client: wire.NewEntryClient(p.http, "http://"+m.Address()), cancel: cancel}
	p.links[m.Entry()] = k
	p.linkEnds = append(p.linkEnds, p.runLink(ctx, k))
}

// runLink syncs with one entry at the sync interval until the context ends.
func (p *Peers) runLink(ctx context.Context, k *link) <-chan error {
	done := make(chan error, 1)
	go func() {
		tick := time.NewTicker(p.syncInterval())
		defer tick.Stop()
		for {
			p.syncWith(ctx, k)
			select {
			case <-ctx.Done():
				done <- nil
				return
			case <-tick.C:
			}
		}
	}()
	return done
}

func (p *Peers) syncWith(ctx context.Context, k *link) {
	ctx, cancel := context.WithTimeout(ctx, p.terms.Fresh())
	defer cancel()
	sent := time.Now()
	a, err := k.client.Sync(ctx, connect.NewRequest(&wire.SyncRequest{From: p.name, Since: k.version}))
	if err != nil {
		p.Debug("entry did not answer", "entry", k.entry, "err", err)
		return
	}
	// Another process may have taken over the address. Its answer must not count
	// as that of the entry that registered it.
	if a.Msg.GetEntry() != k.entry {
		return
	}
	p.view.RecordAnswer(k.entry, sent, member.Answer{Fences: a.Msg.GetFences(), Expels: a.Msg.GetExpels(), Acked: a.Msg.GetAcked()})
	p.table.Merge(k.entry, sent, a.Msg.GetAgents())
	k.version = a.Msg.GetVersion()
}

// Live returns the entries that take part in ownership: this one, and those that
// answered within twice the fresh time.
func (p *Peers) Live(now time.Time) []string {
	out := []string{p.name}
	for _, e := range p.view.RequiredPeers() {
		if p.view.SilentFor(e, now) < 2*p.terms.Fresh() {
			out = append(out, e)
		}
	}
	return out
}

// AnnounceDeparture informs the other entries and the log that this entry shuts
// down. It must only be called once no more leases are renewed here.
func (p *Peers) AnnounceDeparture(ctx context.Context) {
	k := p.view.Answer()
	p.mu.Lock()
	links := make([]*link, 0, len(p.links))
	for _, l := range p.links {
		links = append(links, l)
	}
	p.mu.Unlock()
	var all sync.WaitGroup
	for _, l := range links {
		all.Go(func() {
			_, err := l.client.Goodbye(ctx, connect.NewRequest(&wire.GoodbyeRequest{Entry: p.name, Fences: k.Fences, Expels: k.Expels}))
			if err != nil {
				p.Warn("entry did not acknowledge the departure", "entry", l.entry, "err", err)
			}
		})
	}
	all.Go(func() {
		_, err := p.tail.Append(ctx, &wire.Record{By: p.name, Body: &wire.Record_Depart{Depart: &wire.Depart{Entry: p.name}}})
		if err != nil {
			p.Warn("departure not appended to the log", "err", err)
		}
	})
	all.Wait()
}

// CollectDecisions queries the other entries for the decisions about a subject. It
// returns their answers and the entries that did not answer.
func (p *Peers) CollectDecisions(ctx context.Context, subject string) (answers []*wire.StoryAnswer, missed []string) {
	p.mu.Lock()
	links := make([]*link, 0, len(p.links))
	for _, l := range p.links {
		links = append(links, l)
	}
	p.mu.Unlock()
	for _, l := range links {
		a, err := l.client.Story(ctx, connect.NewRequest(&wire.StoryRequest{Subject: subject}))
		if err != nil {
			missed = append(missed, "entry "+l.entry)
			continue
		}
		answers = append(answers, a.Msg)
	}
	return answers, missed
}
