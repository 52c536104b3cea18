// Package clash learns which images disturb which: from the tail latencies of
// tasks that serve and from the processors in use by the fills beside them, it
// estimates the pressure of each filling image on each serving image. It is
// pure and knows no workers.
package clash

import (
	"cmp"
	"math"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// Share is the part of a worker's processors that an image's fills use, 0 to 1.
type Share struct {
	Image string
	Part  float64
}

// Model estimates pressures. Pressure 1 is where a serving task's tail passes
// its target; the pressures of several fills add up. The zero value knows
// nothing and takes every pair for mildly disturbing.
type Model struct {
	pairs map[pair]*weight
}

type pair struct{ serving, filling string }

// weight is the estimate for a pair: the pressure of a whole worker's
// processors, and how unsure it is.
type weight struct{ mean, spread float64 }

const (
	// priorMean lets a fill of an unknown image try a seventh of a worker
	// beside others like it before it waits.
	priorMean = 2
	// priorSpread makes the first observations of a pair decide.
	priorSpread = 4
	// leastSpread keeps every pair open to change, since loads swing.
	leastSpread = 0.2
	// noise is the variance of one observation; figures are rough.
	noise = 0.02
	// A tail under its target shows at most calmBase plus calmSlope times its
	// level; one over it shows at least overBase plus overSlope times the
	// logarithm of its level: from there on tails rise steeply.
	calmBase, calmSlope = 0.2, 0.5
	overBase, overSlope = 1.2, 0.3
	// maxMean bounds an estimate: a tenth of a worker is then too much.
	maxMean = 14
	// leastShare is the share below which a fill tells nothing.
	leastShare = 0.01
)

func (m *Model) weight(serving, filling string) weight {
	if w := m.pairs[pair{serving, filling}]; w != nil {
		return *w
	}
	return weight{mean: priorMean, spread: priorSpread}
}

// Pressure is the estimated pressure of fills on a serving image.
func (m *Model) Pressure(serving string, fills []Share) float64 {
	var sum float64
	for _, f := range fills {
		sum += m.weight(serving, f.Image).mean * f.Part
	}
	return sum
}

// Of is the estimated pressure of one image's share on a serving image.
func (m *Model) Of(serving string, f Share) float64 {
	return m.weight(serving, f.Image).mean * f.Part
}

// Observe learns from a serving task's tail, as a multiple of its target, and
// the fills beside it. Estimates move only as far as the observation demands,
// and the least certain ones move most.
func (m *Model) Observe(serving string, fills []Share, level float64) {
	want, sum := 0.0, m.Pressure(serving, fills)
	if level > 1 {
		want = max(overBase+overSlope*math.Log(level)-sum, 0)
	} else {
		want = min(calmBase+calmSlope*level-sum, 0)
	}
	total := noise
	for _, f := range fills {
		total += m.weight(serving, f.Image).spread * f.Part * f.Part
	}
	if m.pairs == nil {
		m.pairs = map[pair]*weight{}
	}
	for _, f := range fills {
		if f.Part < leastShare {
			continue
		}
		w := m.weight(serving, f.Image)
		gain := w.spread * f.Part / total
		w.mean = min(max(w.mean+gain*want, 0), maxMean)
		w.spread = max(w.spread*(1-gain*f.Part), leastSpread)
		m.pairs[pair{serving, f.Image}] = &w
	}
}

// Known is the number of pairs that something has been learnt of.
func (m *Model) Known() int { return len(m.pairs) }

// Encode returns the stored form of the model.
func (m *Model) Encode() []byte {
	rows := make([]row, 0, len(m.pairs))
	for p, w := range m.pairs {
		rows = append(rows, row{Serving: p.serving, Filling: p.filling, Mean: float32(w.mean), Spread: float32(w.spread)})
	}
	slices.SortFunc(rows, func(a, b row) int {
		return cmp.Or(cmp.Compare(a.Serving, b.Serving), cmp.Compare(a.Filling, b.Filling))
	})
	out, err := msgpack.Marshal(rows)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "model"))
	}
	return out
}

// Decode reads the stored form of a model.
func Decode(value []byte) (Model, error) {
	var rows []row
	if err := msgpack.Unmarshal(value, &rows); err != nil {
		return Model{}, errors.Wrap(err, "model")
	}
	m := Model{pairs: map[pair]*weight{}}
	for _, r := range rows {
		m.pairs[pair{r.Serving, r.Filling}] = &weight{mean: float64(r.Mean), spread: float64(r.Spread)}
	}
	return m, nil
}

// row is the stored form of a pair.
type row struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Serving  string
	Filling  string
	Mean     float32
	Spread   float32
}
