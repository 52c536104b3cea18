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

// Peers holds the links to the other entries.
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
	return errors.Wrap(err, "append registration to the log")
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
	isLive := map[string]bool{}
	for _, m := range live {
		isLive[m.Entry()] = true
		if p.links[m.Entry()] == nil {
			p.openLink(m)
		}
	}
	for entry, l := range p.links {
		if !isLive[entry] {
			l.cancel()
			delete(p.links, entry)
		}
	}
}

func (p *Peers) openLink(m fold.Member) {
	ctx, cancel := context.WithCancel(p.parent)
	l := &link{entry: m.Entry(), address: m.Address(), client: wire.NewEntryClient(p.http, "http://"+m.Address()), cancel: cancel}
	p.links[m.Entry()] = l
	p.linkEnds = append(p.linkEnds, p.runLink(ctx, l))
}

// runLink syncs with one entry at the sync interval until the context ends.
func (p *Peers) runLink(ctx context.Context, l *link) <-chan error {
	done := make(chan error, 1)
	go func() {
		tick := time.NewTicker(p.syncInterval())
		defer tick.Stop()
		for {
			p.syncWith(ctx, l)
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

func (p *Peers) syncWith(ctx context.Context, l *link) {
	ctx, cancel := context.WithTimeout(ctx, p.terms.Fresh())
	defer cancel()
	sent := time.Now()
	answer, err := l.client.Sync(ctx, connect.NewRequest(&wire.SyncRequest{From: p.name, Since: l.version}))
	if err != nil {
		p.Debug("entry did not answer", "entry", l.entry, "err", err)
		return
	}
	// Another process may have taken over the address. Its answer must not count
	// as that of the entry that registered it.
	if answer.Msg.GetEntry() != l.entry {
		return
	}
	p.view.RecordAnswer(l.entry, sent, member.Answer{Fences: answer.Msg.GetFences(), Expels: answer.Msg.GetExpels(), Acked: answer.Msg.GetAcked()})
	p.table.Merge(l.entry, sent, answer.Msg.GetAgents())
	l.version = answer.Msg.GetVersion()
}

// Live returns the entries among which ownership is distributed: this one, and
// those that answered within twice the fresh time.
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
	known := p.view.Answer()
	p.mu.Lock()
	openLinks := make([]*link, 0, len(p.links))
	for _, l := range p.links {
		openLinks = append(openLinks, l)
	}
	p.mu.Unlock()
	var calls sync.WaitGroup
	for _, l := range openLinks {
		calls.Go(func() {
			_, err := l.client.Goodbye(ctx, connect.NewRequest(&wire.GoodbyeRequest{Entry: p.name, Fences: known.Fences, Expels: known.Expels}))
			if err != nil {
				p.Warn("entry did not acknowledge the departure", "entry", l.entry, "err", err)
			}
		})
	}
	calls.Go(func() {
		_, err := p.tail.Append(ctx, &wire.Record{By: p.name, Body: &wire.Record_Depart{Depart: &wire.Depart{Entry: p.name}}})
		if err != nil {
			p.Warn("departure not appended to the log", "err", err)
		}
	})
	calls.Wait()
}

// CollectDecisions queries the other entries for the decisions about a subject. It
// returns their answers and the entries that did not answer.
func (p *Peers) CollectDecisions(ctx context.Context, subject string) (answers []*wire.StoryAnswer, missed []string) {
	p.mu.Lock()
	openLinks := make([]*link, 0, len(p.links))
	for _, l := range p.links {
		openLinks = append(openLinks, l)
	}
	p.mu.Unlock()
	for _, l := range openLinks {
		answer, err := l.client.Story(ctx, connect.NewRequest(&wire.StoryRequest{Subject: subject}))
		if err != nil {
			missed = append(missed, "entry "+l.entry)
			continue
		}
		answers = append(answers, answer.Msg)
	}
	return answers, missed
}
