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
	if _, err := checkShape(data); err != nil {
		var zero T
		return zero, errors.Wrapf(err, "%d bytes are not a whole value", len(data))
	}
	return unmarshal[T](data)
}

// DecodeMessage decodes a message of a process that is not trusted. Beyond what Decode
// rejects, it rejects data with more arrays and maps than a message of its length has.
func DecodeMessage[T any](data []byte) (T, error) {
	var zero T
	containers, err := checkShape(data)
	if err != nil {
		return zero, errors.Wrapf(err, "%d bytes are not a whole value", len(data))
	}
	if most := freeContainers + len(data)/bytesPerContainer; containers > most {
		return zero, errors.Newf("%d arrays and maps in %d bytes, want at most %d", containers, len(data), most)
	}
	return unmarshal[T](data)
}

func unmarshal[T any](data []byte) (T, error) {
	var out T
	err := msgpack.Unmarshal(data, &out)
	return out, errors.Wrapf(err, "decode %T", out)
}
