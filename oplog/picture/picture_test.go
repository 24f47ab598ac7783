package picture

import (
	"bytes"
	"image/png"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/doormast/doormast/oplog"
)

func TestWritePNG(t *testing.T) {
	at := time.Unix(1000, 0)
	line := func(second int, class, event string) oplog.Line {
		return oplog.Line{Time: at.Add(time.Duration(second) * time.Second), Component: "request", Event: event, Fields: map[string]any{"route": class}}
	}
	for _, tt := range []struct {
		name  string
		lines []oplog.Line
	}{
		{"no requests", nil},
		{"two classes", []oplog.Line{line(0, "a", "answered"), line(1, "b", "broken off"), line(9, "a", "caller left")}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var out bytes.Buffer
			is.NoErr(WritePNG(&out, oplog.Summarize(tt.lines, 2*time.Second)))
			img, err := png.Decode(&out)
			is.NoErr(err)
			is.True(img.Bounds().Dx() > 100)
		})
	}
}
