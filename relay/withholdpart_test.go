package relay

import (
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// A run that was cut off names what other requests may share with it.
func TestLogOfRunCutOffNamesSharedParts(t *testing.T) {
	is := is.New(t)
	b := newTestBox(t, newStub(t, "u", func(net.Conn, stubRequest) bool { return false }))
	got := b.do(b.request(http.MethodPost, "/once/x", "body", "X-Parts", "1:100 171:50 1000:10"))
	is.Equal(got.status, http.StatusBadGateway)
	b.awaitLog(`"parts":"1 ab"`) // without the last one, which is of this request alone
	is.True(b.closedLogContains(`"route":"once"`))
}
