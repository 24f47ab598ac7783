package route

import (
	"testing"

	"github.com/matryer/is"
)

func TestAllowedRegions(t *testing.T) {
	for _, c := range []struct {
		name            string
		route, customer []string
		want            Homes
	}{
		{"unrestricted", nil, nil, Homes{}},
		{"route only", []string{"a", "b"}, nil, Homes{true, []string{"a", "b"}}},
		{"customer only", nil, []string{"b"}, Homes{true, []string{"b"}}},
		{"intersection", []string{"a", "b"}, []string{"b", "c"}, Homes{true, []string{"b"}}},
		{"empty intersection", []string{"a"}, []string{"b"}, Homes{true, []string{}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(AllowedRegions(&Route{Homes: c.route}, &Customer{Homes: c.customer}), c.want)
		})
	}
	is.New(t).Equal(AllowedRegions(&Route{}, nil), Homes{})
}
