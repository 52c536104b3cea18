package owner

import (
	"cmp"
	"context"
	"fmt"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"github.com/berylspar/spar/track"
	"github.com/valyala/fasthttp"
)

const (
	// confirmTime is how long a confirmation of a witness lasts, from the time at which it
	// was asked for.
	confirmTime = time.Second
	// confirmInterval is the time between two questions to a witness while the term may not
	// be renewed in time, that is confirmLead before its end and later. confirmTimeout
	// bounds a question.
	confirmInterval = 250 * time.Millisecond
	confirmLead     = 500 * time.Millisecond
	confirmTimeout  = 200 * time.Millisecond
	// probeInterval is the time between two questions otherwise. An entry is chosen as a
	// witness if it has answered one within answerMemory.
	probeInterval = 5 * time.Second
	answerMemory  = 3 * probeInterval
	// choiceDelay is how long the choice of witnesses must stay the same to be stored.
	choiceDelay = time.Second
	// maxWitnesses bounds the witnesses of an owner.
	maxWitnesses = 8
)

// witnesses are those of a term. The zero value has none. Times are of the candidate's clock.
type witnesses struct {
	mu sync.Mutex
	// stored are those in the owner record, and writing those of a record that may be stored
	// or not, if isWriting.
	stored, writing []string
	isWriting       bool
	// confirmedAt is when the last question was sent that was answered by a confirmation,
	// answeredAt when the last one was answered at all, and askedAt when the last one was
	// sent, by address.
	confirmedAt, answeredAt, askedAt map[string]time.Duration
	// chosen are those to be stored, since chosenAt.
	chosen   []string
	chosenAt time.Duration
}

// mayGrant reports whether an owner whose term has expired may grant leases: as many of the
// witnesses confirm it as are needed, of those that the next owner may find in the record.
func (w *witnesses) mayGrant(now time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.isConfirmedBy(w.stored, now) && (!w.isWriting || w.isConfirmedBy(w.writing, now))
}

func (w *witnesses) isConfirmedBy(list []string, now time.Duration) bool {
	n := 0
	for _, a := range list {
		if at, ok := w.confirmedAt[a]; ok && now < at+confirmTime {
			n++
		}
	}
	return n >= graceQuorum(len(list))
}

// beginWriting returns the witnesses for the next owner record. endWriting is called when it
// is stored.
func (w *witnesses) beginWriting() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writing, w.isWriting = w.chosen, true
	return w.writing
}

func (w *witnesses) endWriting() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stored, w.writing, w.isWriting = w.writing, nil, false
}

// record records the answer to a question that was sent at a time.
func (w *witnesses) record(address string, sent, now time.Duration, confirmed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answeredAt[address] = now
	if confirmed {
		w.confirmedAt[address] = max(w.confirmedAt[address], sent)
	}
}

// due returns which of the entries are to be asked now, all witnesses if the term may end.
func (w *witnesses) due(entries []string, now time.Duration, mayEnd bool) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.askedAt == nil {
		w.confirmedAt, w.answeredAt, w.askedAt = map[string]time.Duration{}, map[string]time.Duration{}, map[string]time.Duration{}
	}
	var out []string
	for _, a := range slices.Compact(slices.Sorted(slices.Values(slices.Concat(entries, w.stored, w.writing)))) {
		at, asked := w.askedAt[a]
		if !asked || now-at >= probeInterval || mayEnd && (slices.Contains(w.stored, a) || slices.Contains(w.writing, a)) {
			w.askedAt[a] = now
			out = append(out, a)
		}
	}
	return out
}

// choose chooses witnesses among the entries, and reports whether they are to be stored.
func (w *witnesses) choose(entries []string, now time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []string
	for _, a := range entries {
		if at, ok := w.answeredAt[a]; ok && now-at < answerMemory {
			list = append(list, a)
		}
	}
	// A fixed order that does not follow failure domains, whose addresses are often close.
	slices.SortFunc(list, func(a, b string) int { return cmp.Or(cmp.Compare(hashOf(a), hashOf(b)), cmp.Compare(a, b)) })
	list = list[:min(len(list), maxWitnesses)]
	if !slices.Equal(list, w.chosen) {
		w.chosen, w.chosenAt = list, now
	}
	current := w.stored
	if w.isWriting {
		current = w.writing
	}
	return now-w.chosenAt >= choiceDelay && !slices.Equal(w.chosen, current)
}

func hashOf(address string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(address)) //nolint:errcheck // never fails
	return h.Sum64()
}

// followWitnesses asks the other entries for confirmations until the context ends, and has
// the owner record written when the choice of witnesses changes.
func (t *term) followWitnesses(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		for t.directory != nil && ctx.Err() == nil {
			begun := t.clock()
			t.askForConfirmations(ctx)
			if t.witnesses.choose(t.peerAddresses(), t.clock()) {
				select {
				case t.witnessesChanged <- struct{}{}:
				default:
				}
			}
			track.Pause(ctx, confirmInterval-min(t.clock()-begun, confirmInterval))
		}
		done <- nil
	}()
	return done
}

// peerAddresses returns the addresses of the other entries of the directory.
func (t *term) peerAddresses() []string {
	return slices.DeleteFunc(t.directory.PeerAddresses(), func(a string) bool { return a == t.self.PeerAddress })
}

// askForConfirmations asks the entries that are due, all at the same time.
func (t *term) askForConfirmations(ctx context.Context) {
	now := t.clock()
	due := t.witnesses.due(t.peerAddresses(), now, now > t.expiresAt()-confirmLead)
	answered := make(chan struct{}, len(due))
	for _, a := range due {
		go func() {
			defer func() { answered <- struct{}{} }()
			sent := t.clock()
			code, _, err := t.peers.Call(fasthttp.MethodPost, a, fmt.Sprintf("%s?epoch=%d", confirmPath, t.epoch), nil, confirmTimeout)
			if err == nil && (code == fasthttp.StatusOK || code == fasthttp.StatusConflict) && ctx.Err() == nil {
				t.witnesses.record(a, sent, t.clock(), code == fasthttp.StatusOK)
			}
		}()
	}
	for range due {
		<-answered
	}
}
