package platform

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/doormast/doormast/table"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const validTable = `{"revision":3,"classes":[{"name":"c","tier":1,"first_token":"1s","floor":0.1,"set":"s"}],
	"upstreams":[{"name":"e","domain":"d","address":"127.0.0.1:1","set":"s","slots":1}]}`

// TestTable covers the responses and failures of the platform.
func TestTable(t *testing.T) {
	for _, c := range []struct {
		name    string
		status  int
		body    string
		cut     bool   // connection ends before Content-Length bytes
		want    uint64 // revision; 0 is none
		wantErr bool
		bad     bool // the error wraps ErrBadTable
	}{
		{"newer table", 200, validTable, false, 3, false, false},
		{"not modified", 304, "", false, 0, false, false},
		{"unavailable", 503, "down", false, 0, true, false},
		{"not JSON", 200, "<html>", false, 0, true, true},
		{"invalid row", 200, strings.Replace(validTable, `"floor":0.1`, `"floor":3`, 1), false, 0, true, true},
		{"truncated document", 200, validTable[:50], false, 0, true, true},
		{"connection lost", 200, validTable, true, 0, true, false},
		{"too large", 200, strings.Repeat(" ", table.MaxSize+1) + validTable, false, 0, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.FormValue("after") != "2" || r.FormValue("wait") != "1s" {
					t.Errorf("unexpected query %s", r.URL.RawQuery)
				}
				if c.cut {
					w.Header().Set("Content-Length", "100000")
				}
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte(c.body))
			}))
			defer s.Close()
			h := NewHTTP(strings.TrimPrefix(s.URL, "http://"))
			defer func() { is.NoErr(h.Close()) }()
			got, err := h.Table(context.Background(), 2, time.Second)
			is.Equal(err != nil, c.wantErr)
			is.Equal(errors.Is(err, ErrBadTable), c.bad) // an invalid table is distinguished from a failed call
			if c.want > 0 {
				is.Equal(got.Revision, c.want)
			} else {
				is.Equal(got, nil)
			}
			is.Equal(h.Calls(), uint64(1))
		})
	}
}

func TestList(t *testing.T) {
	is := is.New(t)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"revision":7,"boxes":[{"name":"b","domain":"d","leaving":true}],"leaving_upstreams":["e"]}`))
	}))
	defer s.Close()
	h := NewHTTP(strings.TrimPrefix(s.URL, "http://"))
	defer func() { is.NoErr(h.Close()) }()
	l, err := h.List(context.Background(), 0, time.Second)
	is.NoErr(err)
	r := l.Roster()
	is.Equal(r.Revision, uint64(7))
	is.Equal(r.Boxes[0].Leaving, true)
	is.Equal(r.Leaving, []string{"e"})
}
