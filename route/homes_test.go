package route

import (
	"testing"

	"github.com/matryer/is"
)

func TestWhereARequestMayRun(t *testing.T) {
	for _, c := range []struct {
		name            string
		route, customer []string
		want            Homes
	}{
		{"anywhere", nil, nil, Homes{}},
		{"the route's homes", []string{"a", "b"}, nil, Homes{true, []string{"a", "b"}}},
		{"the customer's homes", nil, []string{"b"}, Homes{true, []string{"b"}}},
		{"both bind", []string{"a", "b"}, []string{"b", "c"}, Homes{true, []string{"b"}}},
		{"nowhere", []string{"a"}, []string{"b"}, Homes{true, []string{}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(HomesOf(&Route{Homes: c.route}, &Customer{Homes: c.customer}), c.want)
		})
	}
	is.New(t).Equal(HomesOf(&Route{}, nil), Homes{})
}
