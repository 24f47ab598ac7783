package decide

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// TestOwner checks that removing a box moves only the keys that it owned.
func TestOwner(t *testing.T) {
	is := is.New(t)
	boxes := []string{"a", "b", "c", "d"}
	for i := range 200 {
		key := fmt.Sprint(i)
		before, after := Owner(key, boxes), Owner(key, boxes[:3])
		if before != "d" {
			is.Equal(before, after)
		}
		is.Equal(Rank(key, before, boxes), 0)
	}
}
