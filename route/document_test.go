package route

import (
	"testing"

	"github.com/matryer/is"
)

func target(service string) []Target { return []Target{{Service: service, Weight: 1}} }

func rank(n int) *int { return &n }

func TestMatchLongestPrefix(t *testing.T) {
	d, err := New(Document{Routes: []Route{
		{Name: "all", Host: "a.example", Prefix: "/", MaxAttempts: 1, Targets: target("s")},
		{Name: "deep", Host: "a.example", Prefix: "/x/y/", MaxAttempts: 1, Targets: target("s")},
		{Name: "mid", Host: "a.example", Prefix: "/x/", MaxAttempts: 1, Targets: target("s")},
		{Name: "other", Host: "b.example", Prefix: "/x/", MaxAttempts: 1, Targets: target("s")},
	}})
	is.New(t).NoErr(err)
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "deep"},
		{"A.Example:8080", "/x/q", "mid"},
		{"a.example", "/xy", "all"},
		{"b.example", "/x/1", "other"},
		{"b.example", "/y", ""},
		{"c.example", "/x/", ""},
	} {
		t.Run(c.host+c.path, func(t *testing.T) {
			is := is.New(t)
			r := d.Match(c.host, c.path)
			if c.want == "" {
				is.True(r == nil)
				return
			}
			is.Equal(r.Name, c.want)
		})
	}
}

func TestInvalidRoutes(t *testing.T) {
	for name, r := range map[string]Route{
		"prefix without a leading slash":  {Prefix: "x/", MaxAttempts: 1, Targets: target("s")},
		"prefix without a trailing slash": {Prefix: "/x", MaxAttempts: 1, Targets: target("s")},
		"no service":                      {Prefix: "/", MaxAttempts: 1},
		"zero attempts":                   {Prefix: "/", Targets: target("s")},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := New(Document{Routes: []Route{r}})
			is.New(t).True(err != nil)
		})
	}
}

func TestPickFollowsTheWeights(t *testing.T) {
	is := is.New(t)
	r := Route{Targets: []Target{{"a", 90}, {"b", 10}, {"never", 0}}}
	counts := make(map[string]int)
	for n := range uint64(1000) {
		counts[r.Pick(n)]++
	}
	is.Equal(counts, map[string]int{"a": 900, "b": 100})
	is.Equal((&Route{Targets: []Target{{"only", 0}}}).Pick(7), "only")
}

func TestUrgencyOrdersByRouteThenCustomer(t *testing.T) {
	is := is.New(t)
	d, err := New(Document{
		Routes: []Route{
			{Name: "slow", Prefix: "/s/", Rank: 2, MaxAttempts: 1, Targets: target("s")},
			{Name: "fast", Prefix: "/f/", Rank: 0, MaxAttempts: 1, Targets: target("s")},
		},
		Customers: []Customer{{Name: "first", Rank: rank(0)}, {Name: "plain", Rank: rank(1)}, {Name: "unranked"}},
	})
	is.NoErr(err)
	slow, fast := &d.Routes[0], &d.Routes[1]
	first, plain, unranked := &d.Customers[0], &d.Customers[1], &d.Customers[2]
	order := []int{d.Urgency(fast, first, 10), d.Urgency(fast, plain, 10), d.Urgency(slow, first, 10), d.Urgency(slow, plain, 10)}
	is.Equal(order, []int{0, 1, 2, 3})
	is.Equal(d.Urgency(fast, plain, 10), d.Urgency(fast, unranked, 10))
	is.Equal(d.Urgency(fast, plain, 10), d.Urgency(fast, nil, 10))
	is.Equal(d.Urgency(slow, plain, 2), 1) // four combinations share two levels
	is.Equal(d.Urgency(fast, first, 2), 0)
}
