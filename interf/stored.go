package interf

import (
	"cmp"
	"slices"

	"github.com/berylspar/spar/codec"
	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// Encode returns the stored form of the cost estimates. Slack estimates are not
// stored, since loads change too fast.
func (m *Model) Encode() []byte {
	rows := make([]row, 0, len(m.costs))
	for p, c := range m.costs {
		rows = append(rows, row{Serving: p.serving, Filling: p.fill, Mean: float32(c.mean), Spread: float32(c.variance)})
	}
	slices.SortFunc(rows, func(a, b row) int {
		return cmp.Or(cmp.Compare(a.Serving, b.Serving), cmp.Compare(a.Filling, b.Filling))
	})
	out, err := msgpack.Marshal(rows)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encode interference model"))
	}
	return out
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
