package track_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/stand/store"
	"github.com/berylspar/spar/track"
)

// A new owner has read all newest records of a topic when it begins to follow it. To read
// them again may take seconds, in which it would start no task.
func TestFollowerContinuesBehindRecordsThatWereRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := &store.Store{}
		client := store.NewClient(st, 1)
		appendRecord := func(key string) {
			if _, err := st.Append("jobs", nil, []spar.Record{{Key: key, Value: []byte{1}}}); err != nil {
				t.Fatal(err)
			}
		}
		appendRecord("a")
		sentAt := time.Now()
		newest, err := client.Newest(t.Context(), "jobs")
		if err != nil {
			t.Fatal(err)
		}
		appendRecord("b")
		var keys []string
		note := func(records []spar.Record) {
			for _, r := range records {
				keys = append(keys, r.Key)
			}
		}
		f := &track.Follower{Store: client, Topic: "jobs", Wait: time.Second, OnSnapshot: note, OnRecords: note}
		f.ContinueFrom(newest, sentAt)
		if got := f.FreshAt(); !got.Equal(sentAt) {
			t.Errorf("fresh at %s, want %s", got, sentAt)
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := f.Run(ctx)
		time.Sleep(100 * time.Millisecond)
		appendRecord("c")
		time.Sleep(2 * time.Second)
		if age := time.Since(f.FreshAt()); age > 2*f.Wait+10*time.Millisecond {
			t.Errorf("fresh %s ago on an idle topic, want at most %s", age, 2*f.Wait)
		}
		cancel()
		<-done
		if len(keys) != 2 || keys[0] != "b" || keys[1] != "c" {
			t.Errorf("records passed on: %v, want b and c", keys)
		}
	})
}
