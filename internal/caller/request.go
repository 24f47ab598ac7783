package caller

// This file defines the parsing and validation of callers' requests. The invariant: a
// submitted request has a customer of the table and a class that the customer may
// use, and a chat completion asks for no more tokens than the class's max_tokens.

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/doormast/doormast/cell"
	"github.com/doormast/doormast/decide"
	"github.com/doormast/doormast/table"
)

// authenticate returns the table and the caller's customer, or refuses the request
// and returns nil.
func (s *Server) authenticate(ctx *fasthttp.RequestCtx) (*table.Table, *table.Customer) {
	t := s.cfg.Core.Table()
	if t == nil {
		s.cfg.Core.Refused(decide.NoTable)
		refuse(ctx, fasthttp.StatusServiceUnavailable, refusal{reason: decide.NoTable,
			message: "this box has no table yet", retryAfter: time.Second})
		return nil, nil
	}
	key, ok := strings.CutPrefix(string(ctx.Request.Header.Peek(headerAuthorize)), "Bearer ")
	customer := t.Authenticate(key)
	if !ok || customer == nil {
		s.cfg.Core.Refused(decide.NotAllowed)
		refuse(ctx, fasthttp.StatusUnauthorized, refusal{reason: decide.NotAllowed,
			message: "want a bearer key of a customer in the table"})
		return nil, nil
	}
	return t, customer
}

// chatRequest holds the fields of a request body that the server uses. The body is
// forwarded unchanged except for max_tokens.
type chatRequest struct {
	Model     string            `json:"model"`
	Messages  []json.RawMessage `json:"messages"`
	Stream    bool              `json:"stream"`
	MaxTokens int               `json:"max_tokens"`
}

// chat serves a chat completion.
func (s *Server) chat(ctx *fasthttp.RequestCtx) {
	t, customer := s.authenticate(ctx)
	if customer == nil {
		return
	}
	var body chatRequest
	if err := json.Unmarshal(ctx.PostBody(), &body); err != nil {
		s.fail(ctx, fasthttp.StatusBadRequest, "the body is not the JSON that is wanted: "+err.Error())
		return
	}
	if len(body.Messages) == 0 || body.MaxTokens < 0 {
		s.fail(ctx, fasthttp.StatusBadRequest, "want messages, and max_tokens of 0 or more")
		return
	}
	req, class := s.request(ctx, t, customer, "")
	if class == nil {
		return
	}
	req.Resumable = true
	req.MaxTokens = body.MaxTokens
	if class.MaxTokens > 0 && (req.MaxTokens == 0 || req.MaxTokens > class.MaxTokens) {
		req.MaxTokens = class.MaxTokens
	}
	req.Prefix = prefixOf(body.Messages)
	x := NewExchange(s.cfg.Buffer)
	x.Path, x.Method, x.Type = pathChat, "POST", "application/json"
	x.Body = withLimit(ctx.PostBody(), req.MaxTokens, body.MaxTokens)
	s.serve(ctx, req, x, body.Stream)
}

// prefixOf returns a hash of the first message, which similar requests often share
// as a prefix. It returns 0 for a request of fewer than two messages.
func prefixOf(messages []json.RawMessage) uint64 {
	if len(messages) < 2 {
		return 0
	}
	return xxhash.Sum64(messages[0])
}

// withLimit returns a copy of a body whose max_tokens is limit, if the caller
// requested another value.
func withLimit(body []byte, limit, requested int) []byte {
	out := append([]byte(nil), body...)
	if limit == requested {
		return out
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(out, &fields); err != nil {
		return out
	}
	fields["max_tokens"] = json.RawMessage(strconv.Itoa(limit))
	limited, err := json.Marshal(fields)
	if err != nil {
		return out
	}
	return limited
}

// plain forwards a request for /services/CLASS/PATH to a plain service, as PATH.
func (s *Server) plain(ctx *fasthttp.RequestCtx, path string) {
	t, customer := s.authenticate(ctx)
	if customer == nil {
		return
	}
	name, rest, _ := strings.Cut(strings.TrimPrefix(path, pathPlain), "/")
	req, class := s.request(ctx, t, customer, name)
	if class == nil {
		return
	}
	x := NewExchange(s.cfg.Buffer)
	x.Plain, x.Path, x.Method = true, "/"+rest, string(ctx.Method())
	x.Type = string(ctx.Request.Header.ContentType())
	x.Body = append([]byte(nil), ctx.PostBody()...)
	s.serve(ctx, req, x, false)
}

// request converts the headers to a cell.Request, or refuses the request and returns
// a nil class. name is the class; if it is empty, the header or the customer's default
// gives the class.
func (s *Server) request(ctx *fasthttp.RequestCtx, t *table.Table, customer *table.Customer, name string) (cell.Request, *table.Class) {
	h := &ctx.Request.Header
	if name == "" {
		name = string(h.Peek(HeaderClass))
	}
	if name == "" {
		name = customer.DefaultClass
	}
	class := t.Class(name)
	if class == nil {
		s.fail(ctx, fasthttp.StatusBadRequest, fmt.Sprintf("unknown class %q", name))
		return cell.Request{}, nil
	}
	if !customer.MayUse(name) {
		s.cfg.Core.Refused(decide.NotAllowed)
		refuse(ctx, fasthttp.StatusForbidden, refusal{reason: decide.NotAllowed, message: fmt.Sprintf("class %q is not among the customer's", name)})
		return cell.Request{}, nil
	}
	req := cell.Request{ID: s.cfg.Core.NextID(), Class: name, Customer: customer.Name, Repeatable: class.Repeatable}
	if once := string(h.Peek(HeaderNotRepeatable)); once == "1" || once == "true" {
		req.Repeatable = false
	}
	if key := string(h.Peek(HeaderKey)); key != "" {
		if _, err := decide.ParseKey(key); err != nil {
			s.fail(ctx, fasthttp.StatusBadRequest, err.Error())
			return cell.Request{}, nil
		}
		req.Key = customer.Name + "/" + key
		if strings.HasPrefix(key, "dm") {
			req.Key = key
		}
	}
	if text := string(h.Peek(HeaderDeadline)); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil || d <= 0 {
			s.fail(ctx, fasthttp.StatusBadRequest, fmt.Sprintf("%s: found %q, want a duration above 0, such as 30s", HeaderDeadline, text))
			return cell.Request{}, nil
		}
		req.Deadline = d
	}
	return req, class
}
