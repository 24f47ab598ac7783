package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/doormast/doormast/internal/platform"
)

// TestAllPartsAsProcesses runs a minimal system with each part in a separate process: a platform,
// an engine, a plain service and two daemons.
func TestAllPartsAsProcesses(t *testing.T) {
	is := is.New(t)
	engine := start(t, standinBin, "engine", "--pace", "1ms", "--prefill", "1ms")
	plain := start(t, standinBin, "plain")
	s := &system{t: t, dir: t.TempDir(), table: baseTable()}
	s.table.Upstreams = append(s.table.Upstreams, newUpstream("e0", engine.first, "engine", "chat"), newUpstream("p0", plain.first, "plain", "pay"))
	var list platform.List
	list.Revision = 1
	for i := range 2 {
		b := &box{name: fmt.Sprintf("b%d", i), domain: "d0", callers: freePort(t), control: freePort(t), ops: freePort(t)}
		s.boxes = append(s.boxes, b)
		list.Boxes = append(list.Boxes, platform.Box{Name: b.name, Domain: "d0", Control: b.control, Ops: b.ops})
	}
	tableFile, listFile := filepath.Join(s.dir, "table.json"), filepath.Join(s.dir, "list.json")
	is.NoErr(os.WriteFile(tableFile, s.table.Document(), 0o600))
	raw, err := json.Marshal(list)
	is.NoErr(err)
	is.NoErr(os.WriteFile(listFile, raw, 0o600))
	platformProcess := start(t, standinBin, "platform", "--table", tableFile, "--list", listFile)
	for _, b := range s.boxes {
		b.file = filepath.Join(s.dir, b.name+".json")
		settings := fmt.Sprintf(`{
			// one box of the smallest system
			"box": %q, "domain": "d0", "platform": %q, "peer_key": %q, "ops_key": %q,
			"listen": {"callers": %q, "control": %q, "ops": %q},
		}`, b.name, platformProcess.first, peerKey, opsKey, b.callers, b.control, b.ops)
		is.NoErr(os.WriteFile(b.file, []byte(settings), 0o600))
		b.proc = start(t, daemonBin, "--settings", b.file)
	}
	for _, b := range s.boxes {
		s.awaitReady(b)
	}
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	defer cancel()
	for i, b := range s.boxes {
		prompt := fmt.Sprintf("question %d", i)
		expectComplete(t, prompt, send(ctx, b, call{prompt: prompt, stream: true}))
		whole := send(ctx, b, call{prompt: prompt, class: "review"})
		is.NoErr(whole.err)
		var answer struct {
			Choices []struct{ Message struct{ Content string } }
		}
		is.NoErr(json.Unmarshal([]byte(whole.body), &answer))
		is.Equal(answer.Choices[0].Message.Content, expectedAnswer(prompt))
		paid := send(ctx, b, call{prompt: "pay " + prompt, path: "/services/pay/do"})
		is.Equal(paid.status, http.StatusOK)
	}
	s.checkInvariants()
}
