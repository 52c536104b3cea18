package main

import (
	"testing"

	"github.com/sebdah/goldie/v2"
)

func TestPrintedConfiguration(t *testing.T) {
	out, err := configuration().Print()
	if err != nil {
		t.Fatal(err)
	}
	goldie.New(t, goldie.WithNameSuffix(".json")).Assert(t, "configuration", out)
}
