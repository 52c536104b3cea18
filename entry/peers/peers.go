// Package peers keeps an entry in touch with the other entries: it registers
// on the log, asks the others what they know, and says goodbye.
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

// syncShare is how many questions fit into the time that counts as fresh.
const syncShare = 3

// Peers asks the other entries.
type Peers struct {
	common.Common
	name    string
	address string
	terms   lease.Terms
	tail    *tail.Tail
	view    *member.View
	table   *agents.Table
	http    *http.Client

	mu     sync.Mutex
	links  map[string]*link
	ends   []<-chan error
	parent context.Context
}

// link is the way to one other entry.
type link struct {
	entry   string
	address string
	client  wire.EntryClient
	version int64
	cancel  context.CancelFunc
}

// NewPeers returns the peers of the entry with a session name that is reached
// at a control address; h sends the questions.
func NewPeers(c common.Common, name, address string, t lease.Terms, l *tail.Tail, v *member.View, a *agents.Table, h *http.Client) *Peers {
	return &Peers{Common: c, name: name, address: address, terms: t, tail: l, view: v, table: a, http: h, links: map[string]*link{}}
}

// Register puts this entry on the log.
func (p *Peers) Register(ctx context.Context) error {
	_, err := p.tail.Append(ctx, &wire.Record{By: p.name, Body: &wire.Record_Register{
		Register: &wire.Register{Entry: p.name, Address: p.address},
	}})
	return errors.Wrap(err, "register")
}

// Run follows the fold's members until the context ends.
func (p *Peers) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	p.parent = ctx
	go func() {
		tick := time.NewTicker(p.every())
		defer tick.Stop()
		for ctx.Err() == nil {
			p.refresh()
			select {
			case <-ctx.Done():
			case <-tick.C:
			}
		}
		for _, e := range p.ends {
			<-e
		}
		done <- nil
	}()
	return done
}

func (p *Peers) every() time.Duration { return p.terms.Fresh() / syncShare }

// refresh keeps a link to each live member.
func (p *Peers) refresh() {
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
			p.open(m)
		}
	}
	for e, k := range p.links {
		if !named[e] {
			k.cancel()
			delete(p.links, e)
		}
	}
}

func (p *Peers) open(m fold.Member) {
	ctx, cancel := context.WithCancel(p.parent)
	k := &link{entry: m.Entry(), address: m.Address(), client: wire.NewEntryClient(p.http, "http://"+m.Address()), cancel: cancel}
	p.links[m.Entry()] = k
	p.ends = append(p.ends, p.follow(ctx, k))
}

// follow asks one entry until the context ends.
func (p *Peers) follow(ctx context.Context, k *link) <-chan error {
	done := make(chan error, 1)
	go func() {
		tick := time.NewTicker(p.every())
		defer tick.Stop()
		for {
			p.ask(ctx, k)
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

func (p *Peers) ask(ctx context.Context, k *link) {
	ctx, cancel := context.WithTimeout(ctx, p.terms.Fresh())
	defer cancel()
	sent := time.Now()
	a, err := k.client.Sync(ctx, connect.NewRequest(&wire.SyncRequest{From: p.name, Since: k.version}))
	if err != nil {
		p.Debug("entry did not answer", "entry", k.entry, "err", err)
		return
	}
	// Another process may have taken over the address; its word is its own.
	if a.Msg.GetEntry() != k.entry {
		return
	}
	p.view.Answered(k.entry, sent, member.Answer{Fences: a.Msg.GetFences(), Expels: a.Msg.GetExpels(), Acked: a.Msg.GetAcked()})
	p.table.Merge(k.entry, sent, a.Msg.GetAgents())
	k.version = a.Msg.GetVersion()
}

// Live returns the entries that take part in ownership: this one, and those
// that answered lately.
func (p *Peers) Live(now time.Time) []string {
	out := []string{p.name}
	for _, e := range p.view.Needed() {
		if p.view.Silent(e, now) < 2*p.terms.Fresh() {
			out = append(out, e)
		}
	}
	return out
}

// Goodbye tells the others that this entry stops by plan, and the log. It must
// be called when no more leases are renewed here.
func (p *Peers) Goodbye(ctx context.Context) {
	k := p.view.Known()
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
				p.Warn("goodbye not heard", "entry", l.entry, "err", err)
			}
		})
	}
	all.Go(func() {
		_, err := p.tail.Append(ctx, &wire.Record{By: p.name, Body: &wire.Record_Depart{Depart: &wire.Depart{Entry: p.name}}})
		if err != nil {
			p.Warn("departure not on the log", "err", err)
		}
	})
	all.Wait()
}

// Stories asks all entries about a subject. It returns the answers, and the
// entries that could not be reached.
func (p *Peers) Stories(ctx context.Context, subject string) (answers []*wire.StoryAnswer, missed []string) {
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
