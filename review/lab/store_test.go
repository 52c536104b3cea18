package lab

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	partitions   = 12
	appendTime   = 2 * time.Millisecond
	maxRecord    = 262144
	maxCall      = 2097152
	maxPageItems = 500
	maxPageBytes = 1 << 20
	keptAppends  = 5
)

// Store stands in for the platform's store. It serves the calls that the programs make:
// keyed topics with one partition, producers with epochs, and consumer groups.
type Store struct {
	mu      sync.Mutex
	topics  map[string]*topic
	groups  map[string]*group
	changed chan struct{}
	// appending serializes appends.
	appending sync.Mutex
}

type logRecord struct {
	key    string
	raw    []byte
	value  []byte
	offset int64
}

type topic struct {
	records   []logRecord
	newest    map[string]logRecord
	producers map[string]*producer
}

type producer struct {
	epoch, seq int64
	started    bool
	offsets    map[int64]int64
}

type group struct {
	generation int64
	members    map[string]time.Time
	// holder has the partition now, target gets it once the holder knows.
	holder, target []string
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{topics: map[string]*topic{}, groups: map[string]*group{}, changed: make(chan struct{})}
}

// Serve serves the store on a free loopback port and returns the address.
func (s *Store) Serve() (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	m := http.NewServeMux()
	m.HandleFunc("POST /log-append", s.handleAppend)
	m.HandleFunc("GET /log-read", s.handleRead)
	m.HandleFunc("GET /log-newest", s.handleNewest)
	m.HandleFunc("POST /log-join", s.handleJoin)
	m.HandleFunc("POST /log-leave", s.handleLeave)
	go http.Serve(l, m)
	return l.Addr().String(), nil
}

func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]logRecord{}, producers: map[string]*producer{}}
		s.topics[name] = t
	}
	return t
}

// Put appends one record as the operator does.
func (s *Store) Put(name, key string, value []byte) {
	raw := append([]byte{byte(len(key))}, key...)
	raw = append(raw, value...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(s.topic(name), []logRecord{{key: key, raw: raw, value: value}})
}

func (s *Store) append(t *topic, records []logRecord) int64 {
	first := int64(len(t.records))
	for i, r := range records {
		r.offset = first + int64(i)
		t.records = append(t.records, r)
		if len(r.value) == 0 {
			delete(t.newest, r.key)
		} else {
			t.newest[r.key] = r
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return first
}

func reply(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	json.NewEncoder(w).Encode(body)
}

func parseRecords(body []byte) ([]logRecord, bool) {
	if len(body) > maxCall {
		return nil, false
	}
	var out []logRecord
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, false
		}
		n := int(binary.BigEndian.Uint32(body))
		if n < 1 || n > maxRecord || n > len(body)-4 || int(body[4])+1 > n {
			return nil, false
		}
		raw := body[4 : 4+n]
		k := int(raw[0])
		out = append(out, logRecord{key: string(raw[1 : 1+k]), raw: raw, value: raw[1+k:]})
		body = body[4+n:]
	}
	return out, true
}

func (s *Store) handleAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	records, ok := parseRecords(body)
	if !ok {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.appending.Lock()
	time.Sleep(appendTime)
	code, out := s.appendCall(r, records)
	s.appending.Unlock()
	reply(w, code, out)
}

func (s *Store) appendCall(r *http.Request, records []logRecord) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	t := s.topic(q.Get("topic"))
	name := q.Get("producer")
	if name == "" {
		offset := s.append(t, records)
		return http.StatusOK, map[string]any{"offset": offset, "end": len(t.records)}
	}
	epoch, _ := strconv.ParseInt(q.Get("epoch"), 10, 64)
	seq, _ := strconv.ParseInt(q.Get("seq"), 10, 64)
	p := t.producers[name]
	if p == nil {
		p = &producer{epoch: -1}
		t.producers[name] = p
	}
	switch {
	case epoch < p.epoch:
		return http.StatusConflict, map[string]any{"reason": "fenced"}
	case epoch > p.epoch:
		*p = producer{epoch: epoch, offsets: map[int64]int64{}}
	}
	if len(records) == 0 {
		return http.StatusOK, map[string]any{"offset": len(t.records), "end": len(t.records)}
	}
	if offset, ok := p.offsets[seq]; ok {
		return http.StatusOK, map[string]any{"offset": offset, "end": len(t.records)}
	}
	if p.started && seq != p.seq+1 {
		return http.StatusConflict, map[string]any{"reason": "seq", "seq": p.seq + 1}
	}
	p.started, p.seq = true, seq
	offset := s.append(t, records)
	p.offsets[seq] = offset
	delete(p.offsets, seq-keptAppends)
	return http.StatusOK, map[string]any{"offset": offset, "end": len(t.records)}
}

func (s *Store) handleRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		t := s.topic(q.Get("topic"))
		end, changed := int64(len(t.records)), s.changed
		out := binary.BigEndian.AppendUint64(nil, uint64(end))
		out = binary.BigEndian.AppendUint64(out, 0)
		for i := from; i < end && len(out) < maxPageBytes; i++ {
			out = binary.BigEndian.AppendUint32(out, uint32(len(t.records[i].raw)))
			out = append(out, t.records[i].raw...)
		}
		s.mu.Unlock()
		if from < end {
			w.Write(out)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			w.Write(out)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) handleNewest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after := q.Get("dependsOn")
	s.mu.Lock()
	t := s.topic(q.Get("topic"))
	var keys []string
	for k := range t.newest {
		if k > after {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	items, bytes, more := []item{}, 0, false
	for _, k := range keys {
		v := t.newest[k]
		if len(items) == maxPageItems || len(items) > 0 && bytes+len(v.value) > maxPageBytes {
			more = true
			break
		}
		bytes += len(v.value)
		items = append(items, item{k, base64.StdEncoding.EncodeToString(v.value), v.offset})
	}
	end := len(t.records)
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "end": end})
}

type memberCall struct {
	Group      string   `json:"group"`
	Member     string   `json:"member"`
	Topics     []string `json:"topics"`
	TTL        int64    `json:"ttlMs"`
	Generation int64    `json:"generation"`
}

func (s *Store) group(name string, now time.Time) *group {
	g := s.groups[name]
	if g == nil {
		g = &group{members: map[string]time.Time{}, holder: make([]string, partitions), target: make([]string, partitions)}
		s.groups[name] = g
	}
	for m, until := range g.members {
		if now.After(until) {
			g.remove(m)
		}
	}
	return g
}

func (g *group) remove(m string) {
	delete(g.members, m)
	for i := range g.holder {
		if g.holder[i] == m {
			g.holder[i] = ""
		}
	}
	g.assign()
}

// assign distributes the partitions evenly, moves few of them, and gives free ones at once.
func (g *group) assign() {
	g.generation++
	count := map[string]int{}
	for m := range g.members {
		count[m] = 0
	}
	if len(count) == 0 {
		g.target = make([]string, partitions)
		return
	}
	most := (partitions + len(count) - 1) / len(count)
	for i := partitions - 1; i >= 0; i-- {
		m := g.target[i]
		if _, ok := count[m]; !ok || count[m] >= most {
			g.target[i] = ""
			continue
		}
		count[m]++
	}
	for i := range g.target {
		if g.target[i] != "" {
			continue
		}
		least := ""
		for m, n := range count {
			if least == "" || n < count[least] || n == count[least] && m < least {
				least = m
			}
		}
		g.target[i] = least
		count[least]++
	}
	for i, h := range g.holder {
		if h == "" {
			g.holder[i] = g.target[i]
		}
	}
}

func (s *Store) handleJoin(w http.ResponseWriter, r *http.Request) {
	var b memberCall
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil || len(b.Topics) != 1 {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	g := s.group(b.Group, now)
	_, known := g.members[b.Member]
	g.members[b.Member] = now.Add(time.Duration(b.TTL) * time.Millisecond)
	if !known {
		g.assign()
	}
	if b.Generation >= g.generation {
		for i := range g.holder {
			if g.holder[i] == b.Member && g.target[i] != b.Member {
				g.holder[i] = g.target[i]
			}
		}
	}
	parts := [][]any{}
	for i, h := range g.holder {
		if h == b.Member && g.target[i] == b.Member {
			parts = append(parts, []any{b.Topics[0], i, 0})
		}
	}
	reply(w, http.StatusOK, map[string]any{"generation": g.generation, "parts": parts})
}

func (s *Store) handleLeave(w http.ResponseWriter, r *http.Request) {
	var b memberCall
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(b.Group, time.Now())
	if _, ok := g.members[b.Member]; ok {
		g.remove(b.Member)
	}
	reply(w, http.StatusOK, map[string]any{})
}
