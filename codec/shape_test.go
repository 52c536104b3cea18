package codec_test

import (
	"bytes"
	"testing"
	"unsafe"

	"github.com/berylspar/spar/codec"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"
)

// A stranger's message of nested arrays, a byte each, ended the process, whose stack
// outgrew its limit.
func TestDeepNestingIsRejected(t *testing.T) {
	if _, err := codec.Decode[any](bytes.Repeat([]byte{0x91}, 8<<20)); err == nil {
		t.Error("decoded 8 Mi nested arrays")
	}
}

// A stranger's message of empty structs, a byte each, took a hundred times its length.
func TestEmptyStructsCountByTheirSize(t *testing.T) {
	type row struct{ Names [8]string }
	const n = 1 << 16
	for _, empty := range []byte{0x80, 0xc0} {
		data := append([]byte{0xdd, 0, n >> 16, 0, 0}, bytes.Repeat([]byte{empty}, n)...)
		decoded, err := codec.DecodedBytes(data)
		if least := n * int(unsafe.Sizeof(row{})); err != nil || decoded < least {
			t.Errorf("%x: %d bytes, %v, want at least %d", empty, decoded, err, least)
		}
	}
}

func TestWholeValuesAreDecoded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type row struct {
			Name  string
			Bytes []byte
			Count []int64
			Share map[string]float64
			Next  *row
		}
		want := row{
			Name: rapid.String().Draw(t, "name"), Bytes: rapid.SliceOf(rapid.Byte()).Draw(t, "bytes"),
			Count: rapid.SliceOf(rapid.Int64()).Draw(t, "count"),
			Share: rapid.MapOf(rapid.String(), rapid.Float64()).Draw(t, "share"), Next: &row{},
		}
		data, err := msgpack.Marshal(want)
		if err != nil {
			t.Fatal(err)
		}
		got, err := codec.Decode[row](data)
		if err != nil || got.Name != want.Name || !bytes.Equal(got.Bytes, want.Bytes) || len(got.Share) != len(want.Share) {
			t.Fatalf("%+v, %v, want %+v", got, err, want)
		}
		if cut := rapid.IntRange(0, len(data)-1).Draw(t, "cut"); len(data) > 0 {
			if _, err := codec.Decode[row](data[:cut]); err == nil {
				t.Fatalf("decoded %d of %d bytes", cut, len(data))
			}
		}
	})
}
