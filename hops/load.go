package hops

import (
	"strconv"
	"strings"

	"github.com/berylspar/spar/wire"
)

// FormatLoad appends a load to b as the value of the Load header: the requests in
// flight, those queued, the slots, the service time in microseconds and, while the
// agent stops, "leaving".
func FormatLoad(b []byte, l *wire.Load) []byte {
	b = strconv.AppendInt(b, l.GetInFlight(), 10)
	b = append(b, ' ')
	b = strconv.AppendInt(b, l.GetQueued(), 10)
	b = append(b, ' ')
	b = strconv.AppendInt(b, l.GetSlots(), 10)
	b = append(b, ' ')
	b = strconv.AppendInt(b, l.GetServiceUs(), 10)
	if l.GetLeaving() {
		b = append(b, " leaving"...)
	}
	return b
}

// ParseLoad parses a Load header. It returns false if the value is malformed.
func ParseLoad(s string) (*wire.Load, bool) {
	parts := strings.Fields(s)
	if len(parts) < 4 {
		return nil, false
	}
	var n [4]int64
	for i := range n {
		v, err := strconv.ParseInt(parts[i], 10, 64)
		if err != nil || v < 0 {
			return nil, false
		}
		n[i] = v
	}
	return &wire.Load{InFlight: n[0], Queued: n[1], Slots: n[2], ServiceUs: n[3], Leaving: len(parts) > 4}, true
}
