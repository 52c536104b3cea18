package codec_test

import (
	"fmt"
	"testing"

	"github.com/berylspar/spar/codec"
)

// A damaged length of four billion elements took the whole process down, which ran
// out of memory before it read the first of them.
func TestLengthBeyondTheDataIsRejected(t *testing.T) {
	for _, data := range [][]byte{
		{0xdd, 0xff, 0xff, 0xff, 0xff, 0x01},
		{0xdf, 0xff, 0xff, 0xff, 0xff, 0x01},
		{0xc6, 0xff, 0xff, 0xff, 0xff, 0x01},
	} {
		if _, err := codec.Decode[[][4096]int64](data); err == nil {
			t.Errorf("% x was decoded", data)
		}
	}
}

func ExampleDecode() {
	n, err := codec.Decode[[]int]([]byte{0x92, 0x01, 0x02})
	fmt.Println(n, err)
	// Output: [1 2] <nil>
}
