package interf

import (
	"cmp"
	"maps"
	"slices"

	"github.com/berylspar/spar/codec"
	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// rowOverhead is what a row takes beside the names of its images, at most.
const rowOverhead = 24

// Encode returns the stored form of the cost estimates in at most limit bytes: those
// that were observed last, as far as they fit. Slack estimates are not stored, since
// loads change too fast.
func (m *Model) Encode(limit int) []byte {
	left := limit - rowOverhead
	var rows []row
	for _, p := range m.pairsByObservation() {
		size := rowOverhead + len(p.serving) + len(p.fill)
		if size > left {
			continue
		}
		left -= size
		c := m.costs[p]
		rows = append(rows, row{Serving: p.serving, Filling: p.fill, Mean: float32(c.mean), Spread: float32(c.variance)})
	}
	slices.SortFunc(rows, func(a, b row) int {
		return comparePairs(imagePair{a.Serving, a.Filling}, imagePair{b.Serving, b.Filling})
	})
	out, err := msgpack.Marshal(rows)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encode interference model"))
	}
	return out
}

// pairsByObservation returns the image pairs, those that were observed last first.
func (m *Model) pairsByObservation() []imagePair {
	pairs := slices.Collect(maps.Keys(m.costs))
	slices.SortFunc(pairs, func(a, b imagePair) int {
		return cmp.Or(m.costs[b].observedAt.Compare(m.costs[a].observedAt), comparePairs(a, b))
	})
	return pairs
}

func comparePairs(a, b imagePair) int {
	return cmp.Or(cmp.Compare(a.serving, b.serving), cmp.Compare(a.fill, b.fill))
}

// Decode restores a model from its stored form.
func Decode(value []byte) (Model, error) {
	rows, err := codec.Decode[[]row](value)
	if err != nil {
		return Model{}, errors.Wrap(err, "decode interference model")
	}
	m := Model{costs: map[imagePair]*costEstimate{}}
	for _, r := range rows {
		m.costs[imagePair{r.Serving, r.Filling}] = &costEstimate{mean: float64(r.Mean), variance: float64(r.Spread)}
	}
	return m, nil
}

// row is the stored form of a cost estimate. It is encoded as an array, so the
// order of its fields must not change.
type row struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Serving  string
	Filling  string
	Mean     float32
	Spread   float32
}
