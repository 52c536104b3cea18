package codec

import (
	"encoding/binary"

	"github.com/cockroachdb/errors"
)

const (
	// maxDepth bounds the nesting of a value, since the library decodes it recursively.
	maxDepth = 64
	// structBytes is the memory that an array, a map or a nil may take when it is decoded:
	// each may become a struct of a slice that grows, also where it takes a single byte.
	structBytes = 256
	// scalarValueBytes is the same for other values, beside the bytes of texts.
	scalarValueBytes = 32
)

// DecodedBytes bounds the memory that a MessagePack value takes when it is decoded. It
// fails if the value is not whole, or nested deeper than maxDepth.
func DecodedBytes(data []byte) (decoded int, err error) {
	// open holds how many values each container around the position still lacks.
	open := make([]int, 1, maxDepth)
	open[0] = 1
	for at := 0; ; {
		for open[len(open)-1] == 0 {
			if open = open[:len(open)-1]; len(open) == 0 {
				return decoded + len(data), nil
			}
		}
		open[len(open)-1]--
		h, err := readHead(data[at:])
		if err != nil {
			return decoded, errors.Wrapf(err, "at byte %d", at)
		}
		if at += h.bytes; at > len(data) {
			return decoded, errors.Newf("value ends beyond the %d bytes", len(data))
		}
		if !h.container {
			decoded += scalarValueBytes
			continue
		}
		decoded += structBytes
		if h.values > len(data)-at {
			return decoded, errors.Newf("%d values at byte %d of %d", h.values, at, len(data))
		}
		if len(open) == maxDepth {
			return decoded, errors.Newf("nested deeper than %d", maxDepth)
		}
		open = append(open, h.values)
	}
}

// head describes a value by its first bytes: the length of the whole value, or that of
// the head of a container with the number of values in it. A nil counts as a container of
// none.
type head struct {
	bytes     int
	container bool
	values    int
}

// readHead reads the head of the first value.
func readHead(data []byte) (head, error) {
	if len(data) == 0 {
		return head{}, errors.New("value missing")
	}
	c := data[0]
	switch {
	case c == 0xc0:
		return head{bytes: 1, container: true}, nil
	case c <= 0x7f || c >= 0xe0 || c == 0xc2 || c == 0xc3:
		return head{bytes: 1}, nil
	case c <= 0x8f:
		return head{bytes: 1, container: true, values: 2 * int(c&0x0f)}, nil
	case c <= 0x9f:
		return head{bytes: 1, container: true, values: int(c & 0x0f)}, nil
	case c <= 0xbf:
		return head{bytes: 1 + int(c&0x1f)}, nil
	case c == 0xc1:
		return head{}, errors.New("unknown code c1")
	case c >= 0xca && c <= 0xd8:
		if n := scalarBytes[c]; n > 0 {
			return head{bytes: n}, nil
		}
	}
	width := lengthBytes[c]
	if len(data) < 1+width {
		return head{}, errors.New("length missing")
	}
	var raw [8]byte
	copy(raw[8-width:], data[1:1+width])
	n := int(binary.BigEndian.Uint64(raw[:]))
	switch {
	case c >= 0xde:
		return head{bytes: 1 + width, container: true, values: 2 * n}, nil
	case c >= 0xdc:
		return head{bytes: 1 + width, container: true, values: n}, nil
	case c >= 0xc7 && c <= 0xc9:
		return head{bytes: 2 + width + n}, nil
	}
	return head{bytes: 1 + width + n}, nil
}

// scalarBytes is the length of numbers and of extensions of a fixed length, and
// lengthBytes that of the length of other values, by code.
var (
	scalarBytes = [256]int{
		0xca: 5, 0xcb: 9, 0xcc: 2, 0xcd: 3, 0xce: 5, 0xcf: 9, 0xd0: 2, 0xd1: 3, 0xd2: 5, 0xd3: 9,
		0xd4: 3, 0xd5: 4, 0xd6: 6, 0xd7: 10, 0xd8: 18,
	}
	lengthBytes = [256]int{
		0xc4: 1, 0xc5: 2, 0xc6: 4, 0xc7: 1, 0xc8: 2, 0xc9: 4, 0xd9: 1, 0xda: 2, 0xdb: 4,
		0xdc: 2, 0xdd: 4, 0xde: 2, 0xdf: 4,
	}
)
