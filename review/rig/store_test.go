package rig

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

const (
	parts       = 12
	recordBytes = 262144
	callBytes   = 2097152
	pageItems   = 500
	pageBytes   = 1 << 20
	storeDelay  = 4 * time.Millisecond
)

type record struct {
	key   string
	value []byte
}

type topic struct {
	records  []record
	newest   map[string]int
	epoch    map[string]int64
	lastSeq  map[string]int64
	answered map[string]map[int64]int
}

type member struct {
	expires time.Time
	seen    int64
}

type group struct {
	generation int64
	members    map[string]*member
	owner      [parts]string
	before     [parts]string
	since      [parts]int64
}

// store stands in for the platform's store: keyed topics with one used partition,
// producers with epochs, and groups.
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
	groups map[string]*group
	grown  chan struct{}
	// lastFenced is the caller whose append named an epoch last.
	lastFenced string
	// refuse tells whether a call is answered with 503, and slow how long an
	// answer takes. Both are set by the scripts.
	refuse func(caller, path, topic string) bool
	slow   func() time.Duration
	// tooLarge is called when an append exceeds the store's limits.
	tooLarge func(topic string, size int)
}

func newStore() *store {
	return &store{topics: map[string]*topic{}, groups: map[string]*group{}, grown: make(chan struct{})}
}

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]int{}, epoch: map[string]int64{}, lastSeq: map[string]int64{}, answered: map[string]map[int64]int{}}
		s.topics[name] = t
	}
	return t
}

// put appends a record as the operator does.
func (s *store) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(s.topic(name), []record{{key, value}})
}

func (s *store) append(t *topic, rs []record) int {
	at := len(t.records)
	for i, r := range rs {
		t.records = append(t.records, r)
		if len(r.value) == 0 {
			delete(t.newest, r.key)
		} else {
			t.newest[r.key] = at + i
		}
	}
	close(s.grown)
	s.grown = make(chan struct{})
	return at
}

func reply(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(body)
}

// handler serves the store to one caller.
func (s *store) handler(caller string) http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /log-append", func(w http.ResponseWriter, r *http.Request) { s.handleAppend(caller, w, r) })
	m.HandleFunc("GET /log-read", s.handleRead)
	m.HandleFunc("GET /log-newest", s.handleNewest)
	m.HandleFunc("POST /log-join", s.handleJoin)
	m.HandleFunc("POST /log-leave", s.handleLeave)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d := storeDelay
		if s.slow != nil {
			d = max(d, s.slow())
		}
		time.Sleep(d)
		if s.refuse != nil && s.refuse(caller, r.URL.Path, r.URL.Query().Get("topic")) {
			reply(w, 503, map[string]any{})
			return
		}
		m.ServeHTTP(w, r)
	})
}

func (s *store) handleAppend(caller string, w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var rs []record
	for b := body; len(b) > 0; {
		if len(b) < 4 || len(b) < 4+int(binary.BigEndian.Uint32(b)) {
			reply(w, 400, map[string]any{})
			return
		}
		n := int(binary.BigEndian.Uint32(b))
		c := b[4 : 4+n]
		b = b[4+n:]
		if n > recordBytes {
			s.noteTooLarge(q.Get("topic"), n)
			reply(w, 413, map[string]any{})
			return
		}
		k := int(c[0])
		rs = append(rs, record{string(c[1 : 1+k]), c[1+k:]})
	}
	if len(body) > callBytes {
		s.noteTooLarge(q.Get("topic"), len(body))
		reply(w, 413, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(q.Get("topic"))
	if p := q.Get("producer"); p != "" {
		epoch, _ := strconv.ParseInt(q.Get("epoch"), 10, 64)
		seq, _ := strconv.ParseInt(q.Get("seq"), 10, 64)
		s.lastFenced = caller
		switch {
		case epoch < t.epoch[p]:
			reply(w, 409, map[string]any{"reason": "fenced"})
			return
		case epoch > t.epoch[p]:
			t.epoch[p], t.answered[p] = epoch, map[int64]int{}
			delete(t.lastSeq, p)
		}
		if len(rs) == 0 {
			reply(w, 200, map[string]any{"offset": len(t.records), "end": len(t.records)})
			return
		}
		if at, ok := t.answered[p][seq]; ok {
			reply(w, 200, map[string]any{"offset": at, "end": len(t.records)})
			return
		}
		if last, ok := t.lastSeq[p]; ok && seq != last+1 {
			reply(w, 409, map[string]any{"reason": "seq", "seq": last + 1})
			return
		}
		t.lastSeq[p] = seq
		at := s.append(t, rs)
		t.answered[p][seq] = at
		delete(t.answered[p], seq-5)
		reply(w, 200, map[string]any{"offset": at, "end": len(t.records)})
		return
	}
	at := len(t.records)
	if len(rs) > 0 {
		at = s.append(t, rs)
	}
	reply(w, 200, map[string]any{"offset": at, "end": len(t.records)})
}

func (s *store) noteTooLarge(topic string, n int) {
	if s.tooLarge != nil {
		s.tooLarge(topic, n)
	}
}

func (s *store) handleRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for waiting := true; ; {
		s.mu.Lock()
		t, grown := s.topic(q.Get("topic")), s.grown
		rs := append([]record(nil), t.records[min(from, len(t.records)):]...)
		n := len(t.records)
		s.mu.Unlock()
		if len(rs) > 0 || !waiting {
			out := binary.BigEndian.AppendUint64(nil, uint64(n))
			out = binary.BigEndian.AppendUint64(out, 0)
			for _, c := range rs {
				if len(out) > 1<<20 {
					break
				}
				out = binary.BigEndian.AppendUint32(out, uint32(1+len(c.key)+len(c.value)))
				out = append(append(append(out, byte(len(c.key))), c.key...), c.value...)
			}
			_, _ = w.Write(out)
			return
		}
		select {
		case <-grown:
		case <-end.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) handleNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	after := r.URL.Query().Get("dependsOn")
	var keys []string
	for k := range t.newest {
		if k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	items, size, more := []map[string]any{}, 0, false
	for _, k := range keys {
		if len(items) == pageItems || size > pageBytes {
			more = true
			break
		}
		v := t.records[t.newest[k]].value
		size += len(v)
		items = append(items, map[string]any{"key": k, "value": base64.StdEncoding.EncodeToString(v), "offset": t.newest[k]})
	}
	reply(w, 200, map[string]any{"items": items, "hasMore": more, "end": len(t.records)})
}

type memberBody struct {
	Group      string   `json:"group"`
	Member     string   `json:"member"`
	Topics     []string `json:"topics"`
	TTL        int64    `json:"ttlMs"`
	Generation int64    `json:"generation"`
}

func (s *store) group(name string) *group {
	g := s.groups[name]
	if g == nil {
		g = &group{members: map[string]*member{}}
		s.groups[name] = g
	}
	for n, m := range g.members {
		if time.Now().After(m.expires) {
			g.remove(n)
		}
	}
	return g
}

func (g *group) remove(name string) {
	if g.members[name] != nil {
		delete(g.members, name)
		g.assign()
	}
}

// assign distributes the partitions evenly and moves as few as it can.
func (g *group) assign() {
	g.generation++
	var names []string
	for n := range g.members {
		names = append(names, n)
	}
	sort.Strings(names)
	if len(names) == 0 {
		g.owner = [parts]string{}
		return
	}
	most := (parts + len(names) - 1) / len(names)
	held := map[string]int{}
	for i := parts - 1; i >= 0; i-- {
		if o := g.owner[i]; g.members[o] != nil && held[o] < most {
			held[o]++
			continue
		}
		g.before[i], g.owner[i] = g.owner[i], ""
	}
	for i := range g.owner {
		if g.owner[i] != "" {
			continue
		}
		least := names[0]
		for _, n := range names {
			if held[n] < held[least] {
				least = n
			}
		}
		g.owner[i], g.since[i] = least, g.generation
		held[least]++
	}
}

func (s *store) handleJoin(w http.ResponseWriter, r *http.Request) {
	var b memberBody
	if json.NewDecoder(r.Body).Decode(&b) != nil || len(b.Topics) != 1 {
		reply(w, 400, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(b.Group)
	if g.members[b.Member] == nil {
		g.members[b.Member] = &member{}
		g.assign()
	}
	m := g.members[b.Member]
	m.expires, m.seen = time.Now().Add(time.Duration(b.TTL)*time.Millisecond), max(m.seen, b.Generation)
	rows := [][]any{}
	for i, o := range g.owner {
		// The previous owner has to have seen that it lost the partition.
		old := g.members[g.before[i]]
		if o == b.Member && (old == nil || g.before[i] == o || old.seen >= g.since[i]) {
			rows = append(rows, []any{b.Topics[0], i, 0})
		}
	}
	reply(w, 200, map[string]any{"generation": g.generation, "ttlMs": b.TTL, "parts": rows})
}

func (s *store) handleLeave(w http.ResponseWriter, r *http.Request) {
	var b memberBody
	if json.NewDecoder(r.Body).Decode(&b) != nil {
		reply(w, 400, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.group(b.Group).remove(b.Member)
	reply(w, 200, map[string]any{})
}
