package relay

import (
	"testing"

	"github.com/matryer/is"

	"github.com/doormast/doormast/route"
)

func TestContentHash(t *testing.T) {
	first := request{id: "1", method: "POST", host: "h.example", uri: "/a/b?c", body: []byte("body")}
	customer := &route.Customer{Name: "one"}
	same := func(change func(*request), by *route.Customer) bool {
		q := first
		change(&q)
		a, b := &exchange{request: &first, customer: customer}, &exchange{request: &q, customer: by}
		return a.requestHash() == b.requestHash()
	}
	for _, test := range []struct {
		name   string
		change func(*request)
		by     *route.Customer
		same   bool
	}{
		{"another id", func(q *request) { q.id = "2" }, customer, true},
		{"another key of the customer", func(q *request) { q.customerKey = "k2" }, customer, true},
		{"resumed after an event", func(q *request) { q.lastEventID = "7" }, customer, true},
		{"host in upper case", func(q *request) { q.host = "H.example" }, customer, true},
		{"another method", func(q *request) { q.method = "GET" }, customer, false},
		{"another host", func(q *request) { q.host = "g.example" }, customer, false},
		{"another path", func(q *request) { q.uri = "/a/c?c" }, customer, false},
		{"another query", func(q *request) { q.uri = "/a/b?d" }, customer, false},
		{"another body", func(q *request) { q.body = []byte("other") }, customer, false},
		{"another customer", func(*request) {}, &route.Customer{Name: "two"}, false},
		{"no customer", func(*request) {}, nil, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is.New(t).Equal(same(test.change, test.by), test.same)
		})
	}
}
