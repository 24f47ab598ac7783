package picture

import (
	"bytes"
	"image/png"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/oplog"
)

func TestAnAccountIsDrawn(t *testing.T) {
	at := time.Unix(1000, 0)
	line := func(second int, class, event string) oplog.Line {
		return oplog.Line{At: at.Add(time.Duration(second) * time.Second), Part: "request", Event: event, Fields: map[string]any{"route": class}}
	}
	for _, tt := range []struct {
		name  string
		lines []oplog.Line
	}{
		{"nothing", nil},
		{"two classes", []oplog.Line{line(0, "a", "answered"), line(1, "b", "broken off"), line(9, "a", "caller left")}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var out bytes.Buffer
			is.NoErr(Account(&out, oplog.Tell(tt.lines, 2*time.Second)))
			img, err := png.Decode(&out)
			is.NoErr(err)
			is.True(img.Bounds().Dx() > 100)
		})
	}
}
