package standin

import (
	"bytes"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// partitions is the number of partitions of a topic.
const partitions = 12

// keptSequences is how many of a producer's last appends a repeat is answered for.
const keptSequences = 5

// store is a stand-in of the platform's store: a log with keyed topics, producers with
// epochs, and consumer groups. It answers every call at once and loses nothing.
type store struct {
	mu      sync.Mutex
	topics  map[string]*topic
	groups  map[string]*group
	changed chan struct{}
}

type topic struct {
	records   [][]byte
	newest    map[string]keyed
	producers map[string]*producer
}

type keyed struct {
	value  []byte
	offset int
}

type producer struct {
	epoch, seq int64
	started    bool
	offsets    map[int64]int
}

type group struct {
	generation int64
	members    map[string]*member
	owner      [partitions]string
	since      [partitions]int64
}

type member struct {
	expires time.Time
	seen    int64
}

func newStore() *store {
	return &store{topics: map[string]*topic{}, groups: map[string]*group{}, changed: make(chan struct{})}
}

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]keyed{}, producers: map[string]*producer{}}
		s.topics[name] = t
	}
	return t
}

func (s *store) handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /log-append", s.append)
	m.HandleFunc("GET /log-read", s.read)
	m.HandleFunc("GET /log-newest", s.readNewest)
	m.HandleFunc("POST /log-join", s.join)
	m.HandleFunc("POST /log-leave", s.leave)
	return m
}

func reply(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	json.NewEncoder(w).Encode(v)
}

// split returns the records of the body of an append.
func split(body []byte) (out [][]byte) {
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		out = append(out, body[4:4+n])
		body = body[4+n:]
	}
	return out
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(q.Get("topic"))
	records := split(body)
	if name := q.Get("producer"); name != "" {
		epoch, _ := strconv.ParseInt(q.Get("epoch"), 10, 64)
		seq, _ := strconv.ParseInt(q.Get("seq"), 10, 64)
		p := t.producers[name]
		if p == nil {
			p = &producer{offsets: map[int64]int{}}
			t.producers[name] = p
		}
		if epoch < p.epoch {
			reply(w, http.StatusConflict, map[string]any{"reason": "fenced"})
			return
		}
		if epoch > p.epoch {
			*p = producer{epoch: epoch, offsets: map[int64]int{}}
		}
		if len(records) > 0 {
			if at, ok := p.offsets[seq]; ok {
				reply(w, http.StatusOK, map[string]any{"offset": at, "end": len(t.records)})
				return
			}
			if p.started && seq != p.seq+1 {
				reply(w, http.StatusConflict, map[string]any{"reason": "seq", "seq": p.seq + 1})
				return
			}
			p.started, p.seq = true, seq
			p.offsets[seq] = len(t.records)
			delete(p.offsets, seq-keptSequences)
		}
	}
	at := len(t.records)
	s.add(t, records)
	reply(w, http.StatusOK, map[string]any{"offset": at, "end": len(t.records)})
}

// add appends records. The lock is held.
func (s *store) add(t *topic, records [][]byte) {
	for _, rec := range records {
		k := int(rec[0])
		key, value := string(rec[1:1+k]), rec[1+k:]
		if len(value) == 0 {
			delete(t.newest, key)
		} else {
			t.newest[key] = keyed{value, len(t.records)}
		}
		t.records = append(t.records, rec)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a record as the operator does.
func (s *store) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(s.topic("keyed."+name), [][]byte{append(append([]byte{byte(len(key))}, key...), value...)})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	limit := 1024 << 10
	if n, err := strconv.Atoi(q.Get("maxKb")); err == nil {
		limit = n << 10
	}
	timeout := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		t, changed := s.topic(q.Get("topic")), s.changed
		if from < len(t.records) || wait == 0 {
			var out bytes.Buffer
			binary.Write(&out, binary.BigEndian, [2]uint64{uint64(len(t.records)), 0})
			for _, rec := range t.records[min(from, len(t.records)):] {
				if out.Len() > 16 && out.Len()+len(rec) > limit {
					break
				}
				binary.Write(&out, binary.BigEndian, uint32(len(rec)))
				out.Write(rec)
			}
			s.mu.Unlock()
			w.Write(out.Bytes())
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) readNewest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after := q.Get("dependsOn")
	s.mu.Lock()
	t := s.topic(q.Get("topic"))
	var keys []string
	for k := range t.newest {
		if after == "" || k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	items, size, more := []map[string]any{}, 0, false
	for _, k := range keys {
		v := t.newest[k]
		if len(items) == 500 || size > 0 && size+len(v.value) > 700<<10 {
			more = true
			break
		}
		size += len(v.value)
		items = append(items, map[string]any{"key": k, "value": base64.StdEncoding.EncodeToString(v.value), "offset": v.offset})
	}
	end := len(t.records)
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "end": end})
}

type joinBody struct {
	Group, Member string
	Topics        []string
	TTLMs         int64 `json:"ttlMs"`
	Generation    int64
}

// group returns a group without the members that have been silent for their TTL. The lock
// is held.
func (s *store) group(name string) *group {
	g := s.groups[name]
	if g == nil {
		g = &group{members: map[string]*member{}}
		s.groups[name] = g
	}
	gone := false
	for n, m := range g.members {
		if time.Now().After(m.expires) {
			delete(g.members, n)
			gone = true
		}
	}
	if gone {
		g.deal()
	}
	return g
}

// deal distributes the partitions evenly and moves as few as it can.
func (g *group) deal() {
	g.generation++
	var names []string
	for n := range g.members {
		names = append(names, n)
	}
	sort.Strings(names)
	if len(names) == 0 {
		g.owner = [partitions]string{}
		return
	}
	most, count := (partitions+len(names)-1)/len(names), map[string]int{}
	for i := partitions - 1; i >= 0; i-- {
		if o := g.owner[i]; g.members[o] == nil || count[o] == most {
			g.owner[i] = ""
		} else {
			count[o]++
		}
	}
	for i := range g.owner {
		if g.owner[i] != "" {
			continue
		}
		least := names[0]
		for _, n := range names {
			if count[n] < count[least] {
				least = n
			}
		}
		g.owner[i], g.since[i] = least, g.generation
		count[least]++
	}
}

// released reports whether no other member can still take a partition for its own.
func (g *group) released(part int, owner string) bool {
	for n, m := range g.members {
		if n != owner && m.seen > 0 && m.seen < g.since[part] {
			return false
		}
	}
	return true
}

func (s *store) join(w http.ResponseWriter, r *http.Request) {
	var b joinBody
	if json.NewDecoder(r.Body).Decode(&b) != nil || len(b.Topics) != 1 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(b.Group)
	m := g.members[b.Member]
	if m == nil {
		m = &member{}
		g.members[b.Member] = m
		g.deal()
	}
	m.expires, m.seen = time.Now().Add(time.Duration(b.TTLMs)*time.Millisecond), b.Generation
	parts := [][]any{}
	for i, o := range g.owner {
		if o == b.Member && g.released(i, o) {
			parts = append(parts, []any{b.Topics[0], i, 0})
		}
	}
	reply(w, http.StatusOK, map[string]any{"generation": g.generation, "ttlMs": b.TTLMs, "parts": parts})
}

func (s *store) leave(w http.ResponseWriter, r *http.Request) {
	var b joinBody
	if json.NewDecoder(r.Body).Decode(&b) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(b.Group)
	if g.members[b.Member] != nil {
		delete(g.members, b.Member)
		g.deal()
	}
	reply(w, http.StatusOK, map[string]any{})
}

// topicsWith returns the names of the topics with a prefix.
func (s *store) topicsWith(prefix string) (out []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n := range s.topics {
		if strings.HasPrefix(n, prefix) {
			out = append(out, n)
		}
	}
	return out
}
