package hops

import (
	"strconv"
	"strings"

	"github.com/berylspar/spar/wire"
)

// FormatLoad prints a load for the Load header.
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

// ParseLoad reads a Load header. It tells false when the header is not one.
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
