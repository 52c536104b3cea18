// Package codec decodes stored records and messages. It rejects lengths that the
// data cannot hold, for which the MessagePack library would allocate memory first, and
// nesting that would exhaust its stack.
package codec

import (
	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// Decode decodes a value of type T from its MessagePack form. The error names what
// is wrong with the data.
func Decode[T any](data []byte) (T, error) {
	var out T
	if _, err := DecodedBytes(data); err != nil {
		return out, errors.Wrapf(err, "%d bytes are not a whole value", len(data))
	}
	err := msgpack.Unmarshal(data, &out)
	return out, errors.Wrapf(err, "decode %T", out)
}
